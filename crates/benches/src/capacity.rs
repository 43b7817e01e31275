//! What each role costs at the size of two years, from the benches' figures.
