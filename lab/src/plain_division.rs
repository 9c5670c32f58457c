//! The division of a budget by sorting all holders at each question: the reference for the incremental one.
