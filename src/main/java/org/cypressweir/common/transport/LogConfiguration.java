package org.cypressweir.common.transport;

import java.io.PrintStream;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Sends the log of a program to standard error: one line each, with the time of day and the class that logs. */
public final class LogConfiguration {

    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);

    /** Kept, since the runtime forgets the level of a logger that nothing refers to. */
    private static final Logger OWN_LOGGERS = Logger.getLogger("org.cypressweir");

    private LogConfiguration() {}

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
                out.println(TIME.format(Instant.ofEpochMilli(line.getMillis())) + " " + level(line) + "[" + source(line)
                        + "] " + line.getMessage());
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
        OWN_LOGGERS.setLevel(fine ? Level.FINE : Level.INFO);
    }

    /** The simple name of the class that logs, as most lines of a log come from few classes. */
    private static String source(LogRecord line) {
        String name = line.getLoggerName();
        return name.substring(name.lastIndexOf('.') + 1);
    }

    private static String level(LogRecord line) {
        int level = line.getLevel().intValue();
        return level >= Level.SEVERE.intValue() ? "ERROR " : level >= Level.WARNING.intValue() ? "WARN " : "";
    }
}
