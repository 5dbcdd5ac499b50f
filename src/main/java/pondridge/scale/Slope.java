package pondridge.scale;

/**
 * A straight line through points, by least squares.
 *
 * @param value what each step of x adds to y
 * @param base y where x is 0
 * @param spread how far points lie from the line, by the root of the mean square, as a part of the mean of y;
 *     0 for a perfect line and for two points
 */
public record Slope(double value, double base, double spread) {
    /** Fits one through at least two points with different x. */
    public static Slope of(double[] x, double[] y) {
        double meanX = mean(x);
        double meanY = mean(y);
        double square = 0;
        double cross = 0;
        for (int i = 0; i < x.length; i++) {
            square += (x[i] - meanX) * (x[i] - meanX);
            cross += (x[i] - meanX) * (y[i] - meanY);
        }
        if (!(square > 0)) {
            throw new IllegalArgumentException("a slope needs two different sizes");
        }
        double value = cross / square;
        double base = meanY - value * meanX;
        double residual = 0;
        for (int i = 0; i < x.length; i++) {
            double off = y[i] - base - value * x[i];
            residual += off * off;
        }
        double spread = meanY == 0 ? 0 : Math.sqrt(residual / x.length) / Math.abs(meanY);
        return new Slope(value, base, spread);
    }

    private static double mean(double[] of) {
        double sum = 0;
        for (double each : of) {
            sum += each;
        }
        return sum / of.length;
    }
}
