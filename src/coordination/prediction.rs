//! Predicts run times by regression, as in section 4 of the paper "Improving Backfilling by using
//! Machine Learning to predict Running Times" (E. Gaussier, D. Glesser, V. Reis, D. Trystram, SC15,
//! 2015).
//!
//! The model is a polynomial of degree 2 over a few features. It is learned online by Normalized
//! Adaptive Gradient descent with an l2 penalty, so that features need not be scaled. The loss is the
//! paper's Eq. 3 with the weight log(q·p): overestimates are squared, underestimates count linearly.

use std::collections::{BTreeMap, VecDeque};

/// The lower bound of predictions, whose upper bound is the owner's estimate.
const MIN_PREDICTION_S: f64 = 60.0;
/// The paper's steps by which the prediction for an overrunning job is raised.
const CORRECTION_STEPS_S: [f64; 11] = [
    60.0, 300.0, 900.0, 1800.0, 3600.0, 7200.0, 18000.0, 36000.0, 72000.0, 180000.0, 360000.0,
];
/// The learning rate.
const LEARNING_RATE: f64 = 0.5;
/// The weight of the l2 penalty.
const L2_PENALTY: f64 = 1e-4;
/// The lower bound of a job's weight: the logarithm of a small job's area may be negative.
const MIN_WEIGHT: f64 = 0.1;
/// The number of features: estimate, size, `RECENT_RUNS` recent run times and their mean.
const FEATURES: usize = 6;
/// The number of terms of a polynomial of degree 2 over the features.
const TERMS: usize = 1 + FEATURES + FEATURES * (FEATURES + 1) / 2;
/// How many recent run times are kept for each owner.
const RECENT_RUNS: usize = 3;

/// The run times of an owner's finished jobs.
#[derive(Default, Clone, Debug)]
struct RunTimeHistory {
    /// The most recent run times, newest first.
    recent: VecDeque<f64>,
    /// How many run times were observed.
    count: u64,
}

/// An online learner of run times, with the recent run times of each owner (a team's class of jobs).
pub struct Predictor {
    weights: [f64; TERMS],
    /// The largest absolute value of each term so far.
    scales: [f64; TERMS],
    /// The sum of the squared gradients of each term.
    gradients: [f64; TERMS],
    /// The sum of the squares of all normalized terms.
    norm: f64,
    /// How many jobs the model was trained on.
    steps: f64,
    owners: BTreeMap<String, RunTimeHistory>,
}

impl Default for Predictor {
    fn default() -> Self {
        Predictor {
            weights: [0.0; TERMS],
            scales: [0.0; TERMS],
            gradients: [0.0; TERMS],
            norm: 0.0,
            steps: 0.0,
            owners: BTreeMap::new(),
        }
    }
}

impl Predictor {
    /// The terms of the polynomial for a job of an owner.
    fn terms(&self, owner: &str, estimate_s: f64, size: f64) -> [f64; TERMS] {
        let history = self.owners.get(owner).cloned().unwrap_or_default();
        let mut features = [0.0; FEATURES];
        features[0] = estimate_s;
        features[1] = size;
        for (i, run_s) in history.recent.iter().enumerate() {
            features[2 + i] = *run_s;
        }
        let sum_s = history.recent.iter().sum::<f64>();
        features[FEATURES - 1] = sum_s / history.recent.len().max(1) as f64;
        let mut terms = [0.0; TERMS];
        terms[0] = 1.0;
        terms[1..=FEATURES].copy_from_slice(&features);
        let mut position = FEATURES + 1;
        for i in 0..FEATURES {
            for j in i..FEATURES {
                terms[position] = features[i] * features[j];
                position += 1;
            }
        }
        terms
    }

    fn value(&self, terms: &[f64; TERMS]) -> f64 {
        self.weights.iter().zip(terms).map(|(w, x)| w * x).sum()
    }

    /// The predicted run time; the estimate until a job of the owner has finished.
    pub fn predict(&self, owner: &str, estimate_s: f64, size: f64) -> f64 {
        if self.owners.get(owner).is_none_or(|h| h.count == 0) {
            return estimate_s;
        }
        let value = self.value(&self.terms(owner, estimate_s, size));
        if !value.is_finite() {
            return estimate_s;
        }
        value.max(MIN_PREDICTION_S).min(estimate_s)
    }

    /// Updates the model with the run time of a completed job.
    pub fn learn(&mut self, owner: &str, estimate_s: f64, size: f64, run_s: f64) {
        let terms = self.terms(owner, estimate_s, size);
        self.steps += 1.0;
        for (i, x) in terms.iter().enumerate() {
            let x = x.abs();
            if x > self.scales[i] {
                if self.scales[i] > 0.0 {
                    self.weights[i] *= (self.scales[i] / x).powi(2);
                }
                self.scales[i] = x;
            }
            if self.scales[i] > 0.0 {
                self.norm += (x / self.scales[i]).powi(2);
            }
        }
        let error = self.value(&terms) - run_s;
        let weight = (size.max(0.0) * run_s).ln().max(MIN_WEIGHT);
        let slope = if error >= 0.0 {
            2.0 * error * weight
        } else {
            -weight
        };
        let rate = LEARNING_RATE * (self.steps / self.norm.max(f64::MIN_POSITIVE)).sqrt();
        for (i, x) in terms.iter().enumerate() {
            if self.scales[i] <= 0.0 {
                continue;
            }
            let gradient = slope * x + 2.0 * L2_PENALTY * self.weights[i];
            self.gradients[i] += gradient * gradient;
            if self.gradients[i] > 0.0 {
                self.weights[i] -= rate * gradient / (self.scales[i] * self.gradients[i].sqrt());
            }
        }
        let history = self.owners.entry(owner.to_string()).or_default();
        history.count += 1;
        history.recent.push_front(run_s);
        history.recent.truncate(RECENT_RUNS);
    }
}

/// The prediction for a job that has run for `elapsed_s`: raised by the paper's steps while the job
/// overruns it, and never above the estimate.
pub fn corrected(predicted_s: f64, elapsed_s: f64, estimate_s: f64) -> f64 {
    let mut prediction = predicted_s;
    for step in CORRECTION_STEPS_S {
        if elapsed_s < prediction || prediction >= estimate_s {
            break;
        }
        prediction += step;
    }
    prediction.min(estimate_s.max(predicted_s))
}
