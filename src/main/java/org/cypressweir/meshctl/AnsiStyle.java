package org.cypressweir.meshctl;

/** Colour, where a terminal shows it. */
record AnsiStyle(boolean on) {

    static final AnsiStyle OFF = new AnsiStyle(false);

    /** On where both ends are a terminal and nobody has said that no colour is wanted. */
    static AnsiStyle usual() {
        String term = System.getenv("TERM");
        return new AnsiStyle(
                System.console() != null && System.getenv("NO_COLOR") == null && term != null && !term.equals("dumb"));
    }

    String head(String text) {
        return painted("1", text);
    }

    String bad(String text) {
        return painted("31", text);
    }

    private String painted(String code, String text) {
        return on ? "\u001b[" + code + "m" + text + "\u001b[0m" : text;
    }
}
