package larkbank.quay;

/** Mean service times, learned apart for inner requests and others. */
final class Means {
    private static final double SHARE = 0.1;

    private double inner;
    private double outer;

    Means(long first) {
        inner = first;
        outer = first;
    }

    long of(Cargo cargo) {
        return (long) (cargo.inner ? inner : outer);
    }

    void saw(Cargo cargo, long micros) {
        if (cargo.inner) {
            inner += SHARE * (micros - inner);
        } else {
            outer += SHARE * (micros - outer);
        }
    }

    /** It took at least this long, and nobody knows how much longer. */
    void sawAtLeast(Cargo cargo, long micros) {
        saw(cargo, Math.max(micros, of(cargo)));
    }
}
