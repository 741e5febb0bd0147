#pragma once

#include <span>
#include <string>
#include <vector>

namespace acaciafork::slopes {

/// One measured point.
struct Point
{
    double size = 0;
    double value = 0;
};

/// Straight line through points by least squares of the relative distances, with its quality.
struct LineFit
{
    double slope = 0;
    double constant = 0;
    /// Largest relative distance of a point from the line.
    double worstError = 0;

    /// Value of the line at a size.
    [[nodiscard]] double at(double size) const { return constant + slope * size; }
};

/// Fits a line. Takes at least two points of different sizes.
LineFit fitLine(std::span<const Point> points);

} // namespace acaciafork::slopes
