//! Colours that people with the common colour blindnesses tell apart (Okabe and Ito, 2008).

use plotters::style::RGBColor;

const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(90, 90, 90),
    RGBColor(170, 155, 20),
];

/// The colour of the entry at a place.
pub(super) fn colour(index: usize) -> RGBColor {
    COLOURS[index % COLOURS.len()]
}

/// The same for style sheets.
pub(super) fn css(index: usize) -> String {
    let RGBColor(red, green, blue) = colour(index);
    format!("rgb({red},{green},{blue})")
}
