//! Retries at the entry: budgets and which refusals may be tried elsewhere.
