package larkbank.lading;

import java.io.PrintStream;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Where the log of a program goes: a line a sentence on standard error, with time and the part's prefix. */
public final class Logs {

    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);

    private Logs() {}

    /** To be called once, before the first line is logged. */
    public static void open(PrintStream out, boolean fine) {
        System.setProperty("org.jboss.logging.provider", "jdk");
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new Handler() {
            @Override
            public void publish(LogRecord line) {
                out.println(TIME.format(Instant.ofEpochMilli(line.getMillis())) + " " + level(line) + "["
                        + line.getLoggerName() + "] " + line.getMessage());
                if (line.getThrown() != null) {
                    line.getThrown().printStackTrace(out);
                }
            }

            @Override
            public void flush() {
                out.flush();
            }

            @Override
            public void close() {}
        });
        root.setLevel(Level.WARNING);
        for (String part : new String[] {
            "lading", "papers", "harbour", "copies", "hold", "chart", "berth", "pilot", "helm", "quay", "tally", "watch"
        }) {
            Logger.getLogger(part).setLevel(fine ? Level.FINE : Level.INFO);
        }
    }

    private static String level(LogRecord line) {
        int level = line.getLevel().intValue();
        return level >= Level.SEVERE.intValue() ? "ERROR " : level >= Level.WARNING.intValue() ? "WARN " : "";
    }
}
