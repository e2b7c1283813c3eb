package org.cypressweir.sidecar.websocket;

/**
 * Estimates the load of open tunnels relative to requests. The model is utilization = a + b x requests in flight
 * + c x stated weight of the tunnels, fitted by recursive least squares with exponential forgetting (Haykin, Adaptive
 * Filter Theory, chapter on RLS). The stated weights are right if c equals b; otherwise they are wrong by the factor
 * c / b. With too few samples, or with implausible coefficients, the stated weights are used as they are. Reads no
 * clock.
 */
public final class WeightFit {

    private static final double FORGETTING_FACTOR = 0.995;
    private static final double INITIAL_COVARIANCE = 1e4;
    private static final int MIN_SAMPLES = 50;
    /** The smallest effect of one request on a server's utilization that can be distinguished from none. */
    private static final double MIN_REQUEST_EFFECT = 1e-4;
    /** The largest factor, up or down, by which the stated weights are corrected. */
    static final double MAX_CORRECTION = 5;

    private static final int COEFFICIENTS = 3;

    private final double[] coefficients = new double[COEFFICIENTS];
    private final double[][] covariance = new double[COEFFICIENTS][COEFFICIENTS];
    private int samples;

    public WeightFit() {
        for (int i = 0; i < COEFFICIENTS; i++) {
            covariance[i][i] = INITIAL_COVARIANCE;
        }
    }

    /**
     * Adds an observation of one server.
     *
     * @param utilization as the server reported it, from 0 to 1
     * @param requests in flight at the server
     * @param weight stated weight of its tunnels, in requests in flight
     */
    public void sample(double utilization, double requests, double weight) {
        double[] inputs = {1, requests, weight};
        double[] gain = new double[COEFFICIENTS];
        double scale = FORGETTING_FACTOR;
        for (int i = 0; i < COEFFICIENTS; i++) {
            for (int j = 0; j < COEFFICIENTS; j++) {
                gain[i] += covariance[i][j] * inputs[j];
            }
            scale += inputs[i] * gain[i];
        }
        double error = utilization;
        for (int i = 0; i < COEFFICIENTS; i++) {
            error -= coefficients[i] * inputs[i];
        }
        for (int i = 0; i < COEFFICIENTS; i++) {
            coefficients[i] += gain[i] / scale * error;
        }
        for (int i = 0; i < COEFFICIENTS; i++) {
            for (int j = 0; j < COEFFICIENTS; j++) {
                // Without variation in the inputs, forgetting would let the covariance grow without bound.
                covariance[i][j] = Math.max(
                        -INITIAL_COVARIANCE,
                        Math.min(
                                INITIAL_COVARIANCE,
                                (covariance[i][j] - gain[i] * gain[j] / scale) / FORGETTING_FACTOR));
            }
        }
        samples++;
    }

    /** The factor to multiply the stated weights by, from 1/5 to 5. */
    public double factor() {
        boolean plausible = samples >= MIN_SAMPLES && coefficients[1] > MIN_REQUEST_EFFECT && coefficients[2] > 0;
        return plausible
                ? Math.max(1 / MAX_CORRECTION, Math.min(MAX_CORRECTION, coefficients[2] / coefficients[1]))
                : 1;
    }
}
