package org.cypressweir.meshctl.command;

/** Text styles as ANSI escape sequences; plain text where they are disabled. */
public record AnsiStyle(boolean enabled) {

    public static final AnsiStyle OFF = new AnsiStyle(false);

    private static final String ESCAPE = "\u001b[";
    private static final String BOLD = "1";
    private static final String RED = "31";
    private static final String RESET = ESCAPE + "0m";

    /** Enabled at a capable terminal, unless NO_COLOR is set (https://no-color.org). */
    public static AnsiStyle detect() {
        String terminal = System.getenv("TERM");
        boolean capable = System.console() != null && terminal != null && !terminal.equals("dumb");
        return new AnsiStyle(capable && System.getenv("NO_COLOR") == null);
    }

    public String header(String text) {
        return styled(BOLD, text);
    }

    public String error(String text) {
        return styled(RED, text);
    }

    private String styled(String code, String text) {
        return enabled ? ESCAPE + code + "m" + text + RESET : text;
    }
}
