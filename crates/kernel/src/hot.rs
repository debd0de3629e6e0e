//! Hot callers: halving counters and a token bucket.
