//! One hollow proxy: the control code with synthetic demand and evidence, and no data path.
