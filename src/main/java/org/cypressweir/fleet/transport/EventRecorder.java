package org.cypressweir.fleet.transport;

import java.util.HashMap;
import java.util.Map;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;
import org.tinylog.configuration.Configuration;

/**
 * Writes the events of this process to its event file, one line of JSON each, with wall clock time and monotonic time;
 * the latter allows merging the files of several processes on one machine. A thread of the logging library does the
 * writing. Field names are fixed.
 */
final class EventRecorder {

    /** Configures the event file. Called once per process, before the first event. */
    static void open(String file, String process) {
        Map<String, String> settings = Map.of(
                "writer", "json",
                "writer.file", file,
                "writer.format", "LDJSON",
                "writer.append", "true",
                "writer.field.process", process,
                "writer.field.wall", "{date: yyyy-MM-dd'T'HH:mm:ss.SSSXXX}",
                "writer.field.mono", "{context: mono}",
                "writer.field.event", "{context: event}",
                "writer.field.about", "{context: about}",
                "writer.field.text", "{message-only}");
        Configuration.replace(new HashMap<>(settings));
        Configuration.set("writingthread", "true");
        Configuration.set("autoshutdown", "true");
    }

    private EventRecorder() {}

    static void record(String event, String subject, String text) {
        ThreadContext.put("mono", System.nanoTime() / 1_000);
        ThreadContext.put("event", event);
        ThreadContext.put("about", subject);
        Logger.info((Object) text);
    }
}
