package org.cypressweir.sidecar.operatorconfig;

/**
 * Checks the size of the text and the nesting depth of lists, inline tables and dotted keys before parsing: the
 * parser is recursive and makes a call for every bracket. Strings and comments are skipped according to TOML 1.0;
 * malformed ones are left for the parser to report.
 */
final class TextLimits {

    /** A file of 10,000 routes has about one million characters. */
    static final int MAX_CHARACTERS = 16 << 20;
    /** The keys of a valid file nest at most 6 deep. */
    static final int MAX_DEPTH = 32;

    private final String text;
    private int position;
    private int line = 1;
    private int depth;
    /** Dots seen so far in the current dotted key or number. */
    private int dots;

    private TextLimits(String text) {
        this.text = text;
    }

    /** Returns whether the text is within the limits; a violation is added to {@code problems}. */
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

    /** Returns the first line whose nesting is too deep, or 0 if there is none. */
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

    /** Moves to the last character of a string. An unterminated single-line string ends at the end of its line. */
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
