//! Admission at the owner: slots, classes, deadlines and shedding.
