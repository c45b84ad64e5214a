/** Helpers for figures in reports: percentiles, rounding, linear regression and exponential random draws. */

/** @returns The value below which the given share of the samples lies; 0 without samples. */
export function computePercentile(samples: readonly number[], share: number): number {
    const sorted = Float64Array.from(samples).sort();
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

/** @returns The number with three significant digits. */
export function formatFigure(value: number): string {
    if (!Number.isFinite(value)) {
        return "none";
    }
    return Math.abs(value) >= 100 ? Math.round(value).toString() : Number(value.toPrecision(3)).toString();
}

/** @returns Slope and intercept of the least-squares line through the points. */
export function computeSlope(
    points: readonly (readonly [number, number])[],
): { readonly slope: number; readonly intercept: number; } {
    const count = points.length;
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
    const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    const slope = variance === 0 ? 0 : covariance / variance;
    return { slope, intercept: meanY - slope * meanX };
}

/** @returns A sample of an exponential distribution, derived from a uniform random `fraction` in [0, 1). */
export function pickExponential(fraction: number, mean: number): number {
    return -mean * Math.log(1 - fraction);
}
