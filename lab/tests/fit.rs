//! Fits of measured points: each form is recognized from its own points, noise does not lead to a more
//! complicated form, and the order of the points does not matter.
use proptest::prelude::*;
use threadward_lab::scale::fit::{Fit, Form, MAX_FITTING_RESIDUAL};
use threadward_lab::scale::report::Point;

/// The sizes of a scale run and two smaller ones, without which n log n could not be told from a line.
const SIZES: [f64; 7] = [4.0, 23.0, 100.0, 300.0, 1000.0, 3000.0, 6800.0];

fn curve(form: Form, base: f64, slope: f64) -> Fit {
    Fit { form, base, slope, residual: 0.0 }
}

fn points(fit: &Fit, sizes: &[f64]) -> Vec<Point> {
    sizes.iter().map(|size| Point { at: *size, value: fit.at(*size) }).collect()
}

fn near(one: f64, other: f64) -> bool {
    (one - other).abs() <= 1e-6 * one.abs().max(other.abs())
}

fn any_form() -> impl Strategy<Value = Form> {
    prop::sample::select(Form::ALL.to_vec())
}

proptest! {
    /// Without a constant term, the form that made the points is the simplest that fits them.
    #[test]
    fn each_form_is_recognized_from_its_points(form in any_form(), scale in 1e-9..1e9f64) {
        let (base, slope) = if form == Form::Constant { (scale, 0.0) } else { (0.0, scale) };
        let found = Fit::best(&points(&curve(form, base, slope), &SIZES)).unwrap();
        prop_assert_eq!(found.form, form);
        prop_assert!(found.residual < 1e-6);
        for size in [10.0, 500.0, 6800.0, 20_000.0] {
            prop_assert!(near(found.at(size), curve(form, base, slope).at(size)));
        }
    }

    /// Points of a form with a constant term, fitted with the same form, give back base and slope.
    #[test]
    fn base_and_slope_are_recovered(form in any_form(), base in 1e-3..1e3f64, slope in 1e-3..1e3f64) {
        let slope = if form == Form::Constant { 0.0 } else { slope };
        let true_curve = curve(form, base, slope);
        let found = Fit::of(form, &points(&true_curve, &SIZES)).unwrap();
        prop_assert!(found.residual < 1e-6);
        prop_assert!(near(found.slope, slope));
        prop_assert!(SIZES.iter().all(|size| near(found.at(*size), true_curve.at(*size))));
        prop_assert!(near(found.base, base) || (found.base - base).abs() < 1e-6 * true_curve.at(SIZES[0]));
    }

    /// Noise of 3% leads to the same form or a simpler one, within the largest fitting residual.
    #[test]
    fn noise_keeps_the_form_or_a_simpler_one(
        form in any_form(),
        base in 0.0..1e4f64,
        slope in 1e-3..1e3f64,
        noise in prop::collection::vec(-0.03..0.03f64, SIZES.len()),
    ) {
        let slope = if form == Form::Constant { 0.0 } else { slope };
        let base = if form == Form::Constant { base + 1.0 } else { base };
        let mut noisy = points(&curve(form, base, slope), &SIZES);
        noisy.iter_mut().zip(&noise).for_each(|(point, noise)| point.value *= 1.0 + noise);
        let found = Fit::best(&noisy).unwrap();
        prop_assert!(found.form <= form, "{:?} of {:?}", found, form);
        prop_assert!(found.residual <= MAX_FITTING_RESIDUAL);
        for point in &noisy {
            prop_assert!((found.at(point.at) - point.value).abs() <= (found.residual + 1e-9) * point.value);
        }
    }

    /// The order of the points does not change a bit of the fit.
    #[test]
    fn order_does_not_matter(
        measured in prop::collection::vec((0.0..1e4f64, -1e6..1e6f64), 2..12),
        seed in any::<u64>(),
    ) {
        let points: Vec<Point> = measured.iter().map(|(at, value)| Point { at: *at, value: *value }).collect();
        let mut shuffled = points.clone();
        shuffled.sort_by_key(|point| point.at.to_bits().wrapping_mul(seed | 1));
        prop_assert_eq!(Fit::best(&shuffled), Fit::best(&points));
    }

    /// The chosen form is the simplest within the largest fitting residual, or else the closest.
    #[test]
    fn the_simplest_fitting_form_is_chosen_or_else_the_closest(measured in prop::collection::vec((1.0..1e4f64, 0.0..1e6f64), 2..12)) {
        let points: Vec<Point> = measured.iter().map(|(at, value)| Point { at: *at, value: *value }).collect();
        let found = Fit::best(&points).unwrap();
        let others: Vec<Fit> = Form::ALL.iter().filter_map(|form| Fit::of(*form, &points)).collect();
        if found.residual <= MAX_FITTING_RESIDUAL {
            let simpler = others.iter().filter(|other| other.form < found.form);
            prop_assert!(simpler.map(|other| other.residual).all(|residual| residual > MAX_FITTING_RESIDUAL));
        } else {
            prop_assert!(others.iter().all(|other| other.residual >= found.residual));
        }
    }
}

#[test]
fn too_few_or_non_finite_points_give_no_fit() {
    let point = |at, value| Point { at, value };
    assert_eq!(Fit::best(&[]), None);
    assert_eq!(Fit::best(&[point(1.0, 2.0)]), None);
    assert_eq!(Fit::best(&[point(1.0, 2.0), point(2.0, f64::NAN)]), None);
    assert_eq!(Fit::best(&[point(1.0, 2.0), point(f64::INFINITY, 2.0)]), None);
    assert_eq!(Fit::best(&[point(f64::NAN, 2.0), point(2.0, 2.0), point(3.0, 2.0)]), None);
}

#[test]
fn one_size_measured_twice_is_a_constant() {
    let fit = Fit::best(&[Point { at: 5.0, value: 1.0 }, Point { at: 5.0, value: 3.0 }]).unwrap();
    assert_eq!((fit.form, fit.slope), (Form::Constant, 0.0));
    assert_eq!(Fit::of(Form::Linear, &[Point { at: 5.0, value: 1.0 }, Point { at: 5.0, value: 3.0 }]), None);
}

#[test]
fn values_of_zero_are_fitted() {
    let zeros: Vec<Point> = SIZES.iter().map(|size| Point { at: *size, value: 0.0 }).collect();
    assert_eq!(Fit::best(&zeros), Some(curve(Form::Constant, 0.0, 0.0)));
    let mut line = points(&curve(Form::Linear, 0.0, 2.0), &SIZES);
    line.insert(0, Point { at: 0.0, value: 0.0 });
    let fit = Fit::best(&line).unwrap();
    assert_eq!(fit.form, Form::Linear);
    assert!(near(fit.at(100.0), 200.0));
}

#[test]
fn a_small_size_counts_as_much_as_a_large_one() {
    // Two values that differ by 4% at the largest size move the curve at the smallest size by less than 2%.
    let measured = [(10.0, 10.0), (100.0, 100.0), (10_000.0, 10_000.0), (10_000.0, 10_400.0)];
    let points: Vec<Point> = measured.iter().map(|(at, value)| Point { at: *at, value: *value }).collect();
    let fit = Fit::best(&points).unwrap();
    assert_eq!(fit.form, Form::Linear);
    assert!((fit.at(10.0) - 10.0).abs() < 0.2 && fit.residual < 0.03, "{fit:?}");
}
