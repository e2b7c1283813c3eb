package larkbank.berth;

/** Berths for tests. */
final class Berths {

    private Berths() {}

    static Berth of(String name, long life, long number) {
        return new Berth(
                name,
                life,
                number,
                "10.0.0.1:7000",
                "10.0.0.1:7500",
                "z",
                "s",
                false,
                new Ship(name + life, "s", "10.0.0.1:80", 4, false, 0));
    }
}
