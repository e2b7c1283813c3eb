package org.cypressweir.sidecar.websocket;

/**
 * Learns what open connections cost a server against what requests do: use = a + b x requests in flight
 * + c x what its connections are stated to weigh, by recursive least squares with forgetting (Haykin,
 * Adaptive Filter Theory, chapter on RLS). The stated weights are right where c equals b; else they are off
 * by c / b. Until enough is known, and where the figures make no sense, they count as stated. No clock.
 */
public final class WeightFit {

    private static final double FORGET = 0.995;
    private static final double UNKNOWN = 1e4;
    private static final int LEAST_SAMPLES = 50;
    /** The least effect of one request on a server's use that can be told from none. */
    private static final double LEAST_EFFECT = 1e-4;
    /** However wrong the stated weights, they are corrected by so much at most. */
    static final double MOST = 5;

    private static final int TERMS = 3;

    private final double[] known = new double[TERMS];
    private final double[][] spread = new double[TERMS][TERMS];
    private int samples;

    public WeightFit() {
        for (int i = 0; i < TERMS; i++) {
            spread[i][i] = UNKNOWN;
        }
    }

    /**
     * A server was seen like this.
     *
     * @param use its own word on its use, in 0 to 1
     * @param requests in flight there
     * @param weight what its connections weigh as stated, in requests in flight
     */
    public void sample(double use, double requests, double weight) {
        double[] x = {1, requests, weight};
        double[] gain = new double[TERMS];
        double scale = FORGET;
        for (int i = 0; i < TERMS; i++) {
            for (int j = 0; j < TERMS; j++) {
                gain[i] += spread[i][j] * x[j];
            }
            scale += x[i] * gain[i];
        }
        double error = use;
        for (int i = 0; i < TERMS; i++) {
            error -= known[i] * x[i];
        }
        for (int i = 0; i < TERMS; i++) {
            known[i] += gain[i] / scale * error;
        }
        for (int i = 0; i < TERMS; i++) {
            for (int j = 0; j < TERMS; j++) {
                // What is never seen to change is forgotten without end; that must not run away.
                spread[i][j] =
                        Math.max(-UNKNOWN, Math.min(UNKNOWN, (spread[i][j] - gain[i] * gain[j] / scale) / FORGET));
            }
        }
        samples++;
    }

    /** What the stated weights are to be multiplied by, in 1/5 to 5. */
    public double factor() {
        boolean sound = samples >= LEAST_SAMPLES && known[1] > LEAST_EFFECT && known[2] > 0;
        return sound ? Math.max(1 / MOST, Math.min(MOST, known[2] / known[1])) : 1;
    }
}
