package org.cypressweir.sidecar.operatorconfig;

/**
 * Bounds on the text itself, before a parser that follows every bracket by a call of its own sees it: size,
 * and how deep lists, inline tables and dotted keys may nest. Strings and comments are skipped as TOML 1.0
 * has them; where they are broken the parser says so.
 */
final class Shape {

    /** A file of 10,000 routes has one. */
    static final int MOST_CHARACTERS = 16 << 20;
    /** What the file's own keys need is 6. */
    static final int MOST_DEPTH = 32;

    private final String text;
    private int at;
    private int line = 1;
    private int depth;
    /** Dots in a row between the words of one key, or of one number. */
    private int dots;

    private Shape(String text) {
        this.text = text;
    }

    /** Whether the text can be parsed; if not, that is reported. */
    static boolean fits(String text, Problems problems) {
        if (text.length() > MOST_CHARACTERS) {
            problems.add(1, "the file has more than " + MOST_CHARACTERS + " characters");
            return false;
        }
        Shape shape = new Shape(text);
        int deep = shape.lineTooDeep();
        if (deep > 0) {
            problems.add(deep, "lists, tables or keys nested more than " + MOST_DEPTH + " deep");
        }
        return deep == 0;
    }

    /** The first line on which something nests too deep; 0 where nothing does. */
    private int lineTooDeep() {
        while (at < text.length()) {
            char c = text.charAt(at);
            switch (c) {
                case '#' -> skipTo(text.indexOf('\n', at));
                case '"', '\'' -> skipString(c);
                case '[', '{' -> depth++;
                case ']', '}' -> depth = Math.max(0, depth - 1);
                case '.' -> dots++;
                case '\n', '=', ',' -> dots = 0;
                default -> {}
            }
            if (depth + dots > MOST_DEPTH) {
                return line;
            }
            if (at < text.length()) {
                line += text.charAt(at) == '\n' ? 1 : 0;
                at++;
            }
        }
        return 0;
    }

    private void skipTo(int end) {
        at = end < 0 ? text.length() : end;
        dots = 0;
    }

    /** To the last character of a string, which in one line ends with that line at the latest. */
    private void skipString(char quote) {
        String three = String.valueOf(quote).repeat(3);
        boolean lines = text.startsWith(three, at);
        String end = lines ? three : String.valueOf(quote);
        int from = at + end.length();
        while (from < text.length()) {
            char c = text.charAt(from);
            if (text.startsWith(end, from)) {
                from += end.length();
                break;
            }
            if (c == '\n') {
                if (!lines) {
                    break;
                }
                line++;
            }
            from += c == '\\' && quote == '"' && from + 1 < text.length() && text.charAt(from + 1) != '\n' ? 2 : 1;
        }
        at = Math.min(from, text.length()) - 1;
    }
}
