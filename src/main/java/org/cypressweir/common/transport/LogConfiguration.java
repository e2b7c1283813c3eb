package org.cypressweir.common.transport;

import java.io.PrintStream;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * The log format of a program: one line per record with the time of day in UTC, the level if it is WARN or above, and
 * the simple name of the class that logs.
 */
public final class LogConfiguration {

    private static final DateTimeFormatter TIME_OF_DAY =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);

    /** A strong reference, since a logger that is garbage-collected loses its level. */
    private static final Logger PROJECT_LOGGER = Logger.getLogger("org.cypressweir");

    private LogConfiguration() {}

    /**
     * Replaces the log handlers of this process; to be called once, before the first record is logged.
     *
     * @param debug whether records of our own classes are logged from level FINE up
     */
    public static void install(PrintStream out, boolean debug) {
        System.setProperty("org.jboss.logging.provider", "jdk");
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new LineHandler(out));
        root.setLevel(Level.WARNING);
        PROJECT_LOGGER.setLevel(debug ? Level.FINE : Level.INFO);
    }

    private static final class LineHandler extends Handler {

        private final PrintStream out;

        private LineHandler(PrintStream out) {
            this.out = out;
        }

        @Override
        public void publish(LogRecord record) {
            out.println(format(record));
            if (record.getThrown() != null) {
                record.getThrown().printStackTrace(out);
            }
        }

        @Override
        public void flush() {
            out.flush();
        }

        @Override
        public void close() {}

        private static String format(LogRecord record) {
            String time = TIME_OF_DAY.format(Instant.ofEpochMilli(record.getMillis()));
            return time + " " + levelPrefix(record) + "[" + simpleLoggerName(record) + "] " + record.getMessage();
        }

        private static String simpleLoggerName(LogRecord record) {
            String name = record.getLoggerName();
            return name.substring(name.lastIndexOf('.') + 1);
        }

        private static String levelPrefix(LogRecord record) {
            int level = record.getLevel().intValue();
            if (level >= Level.SEVERE.intValue()) {
                return "ERROR ";
            }
            return level >= Level.WARNING.intValue() ? "WARN " : "";
        }
    }
}
