//! Process beside a model engine.
