package pondridge.scale;

/**
 * A least-squares line through points.
 *
 * @param value increase of y per unit of x
 * @param intercept y where x is 0
 * @param relativeResidual root mean square of the residuals, as a fraction of the mean of y; 0 for a perfect
 *     line and for two points
 */
public record Slope(double value, double intercept, double relativeResidual) {
    /** Fits a line through points, at least two of which differ in x. */
    public static Slope of(double[] x, double[] y) {
        double meanX = mean(x);
        double meanY = mean(y);
        double sumOfSquaresX = 0;
        double sumOfProducts = 0;
        for (int i = 0; i < x.length; i++) {
            sumOfSquaresX += (x[i] - meanX) * (x[i] - meanX);
            sumOfProducts += (x[i] - meanX) * (y[i] - meanY);
        }
        if (!(sumOfSquaresX > 0)) {
            throw new IllegalArgumentException("a slope needs two different sizes");
        }
        double value = sumOfProducts / sumOfSquaresX;
        double intercept = meanY - value * meanX;
        double sumOfSquaredResiduals = 0;
        for (int i = 0; i < x.length; i++) {
            double residual = y[i] - intercept - value * x[i];
            sumOfSquaredResiduals += residual * residual;
        }
        double relativeResidual = meanY == 0 ? 0 : Math.sqrt(sumOfSquaredResiduals / x.length) / Math.abs(meanY);
        return new Slope(value, intercept, relativeResidual);
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum / values.length;
    }
}
