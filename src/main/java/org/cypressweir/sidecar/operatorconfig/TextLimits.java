package org.cypressweir.sidecar.operatorconfig;

/**
 * Bounds on the text itself, before a parser that follows every bracket by a call of its own sees it: size,
 * and how deep lists, inline tables and dotted keys may nest. Strings and comments are skipped as TOML 1.0
 * has them; where they are broken the parser says so.
 */
final class TextLimits {

    /** A file of 10,000 routes has one. */
    static final int MAX_CHARACTERS = 16 << 20;
    /** What the file's own keys need is 6. */
    static final int MAX_DEPTH = 32;

    private final String text;
    private int position;
    private int line = 1;
    private int depth;
    /** Dots in a row between the words of one key, or of one number. */
    private int dots;

    private TextLimits(String text) {
        this.text = text;
    }

    /** Whether the text can be parsed; if not, that is reported. */
    static boolean fits(String text, Problems problems) {
        if (text.length() > MAX_CHARACTERS) {
            problems.add(1, "the file has more than " + MAX_CHARACTERS + " characters");
            return false;
        }
        TextLimits shape = new TextLimits(text);
        int tooDeepLine = shape.firstLineTooDeep();
        if (tooDeepLine > 0) {
            problems.add(tooDeepLine, "lists, tables or keys nested more than " + MAX_DEPTH + " deep");
        }
        return tooDeepLine == 0;
    }

    /** The first line on which something nests too deep; 0 where nothing does. */
    private int firstLineTooDeep() {
        while (position < text.length()) {
            char c = text.charAt(position);
            switch (c) {
                case '#' -> skipTo(text.indexOf('\n', position));
                case '"', '\'' -> skipString(c);
                case '[', '{' -> depth++;
                case ']', '}' -> depth = Math.max(0, depth - 1);
                case '.' -> dots++;
                case '\n', '=', ',' -> dots = 0;
                default -> {}
            }
            if (depth + dots > MAX_DEPTH) {
                return line;
            }
            if (position < text.length()) {
                line += text.charAt(position) == '\n' ? 1 : 0;
                position++;
            }
        }
        return 0;
    }

    private void skipTo(int end) {
        position = end < 0 ? text.length() : end;
        dots = 0;
    }

    /** To the last character of a string, which in one line ends with that line at the latest. */
    private void skipString(char quote) {
        String tripleQuote = String.valueOf(quote).repeat(3);
        boolean multiLine = text.startsWith(tripleQuote, position);
        String end = multiLine ? tripleQuote : String.valueOf(quote);
        int from = position + end.length();
        while (from < text.length()) {
            char c = text.charAt(from);
            if (text.startsWith(end, from)) {
                from += end.length();
                break;
            }
            if (c == '\n') {
                if (!multiLine) {
                    break;
                }
                line++;
            }
            from += c == '\\' && quote == '"' && from + 1 < text.length() && text.charAt(from + 1) != '\n' ? 2 : 1;
        }
        position = Math.min(from, text.length()) - 1;
    }
}
