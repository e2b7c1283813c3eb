package org.cypressweir.sidecar.simhost;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.cypressweir.loadbalancing.LoadBalancer.Actions;

/** Writes the actions of a batch as they occur; a group is only started when it has an action. */
final class ReplyWriter implements Actions {

    private final JsonGenerator out;
    private String instance;
    private boolean groupOpen;
    private boolean started;

    ReplyWriter(JsonGenerator out) {
        this.out = out;
    }

    private interface FieldWriter {
        void write() throws IOException;
    }

    /** Sets the instance that the following actions belong to. */
    void instance(String name) throws IOException {
        closeGroup();
        instance = name;
    }

    /** Ends the reply and flushes it. */
    void finish() throws IOException {
        closeGroup();
        begin();
        out.writeEndArray();
        out.writeEndObject();
        out.writeRaw('\n');
        out.flush();
        started = false;
    }

    private void begin() throws IOException {
        if (!started) {
            started = true;
            out.writeStartObject();
            out.writeArrayFieldStart("groups");
        }
    }

    private void closeGroup() throws IOException {
        if (groupOpen) {
            groupOpen = false;
            out.writeEndArray();
            out.writeEndObject();
        }
    }

    private void writeAction(String op, FieldWriter body) {
        try {
            begin();
            if (!groupOpen) {
                groupOpen = true;
                out.writeStartObject();
                out.writeStringField("who", instance);
                out.writeArrayFieldStart("output");
            }
            out.writeStartObject();
            out.writeStringField("op", op);
            body.write();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void send(String requestId, long server, long timeoutMicros) {
        writeAction("Place", () -> {
            out.writeStringField("ticket", requestId);
            out.writeNumberField("server", server);
            if (timeoutMicros != 0) {
                out.writeNumberField("give_up_after_us", timeoutMicros);
            }
        });
    }

    @Override
    public void refuse(String requestId, long retryAfterMicros) {
        writeAction("PushBack", () -> {
            out.writeStringField("ticket", requestId);
            if (retryAfterMicros > 0) {
                out.writeNumberField("retry_in_us", retryAfterMicros);
            }
        });
    }

    @Override
    public void fail(String requestId) {
        writeAction("ReportFailure", () -> out.writeStringField("ticket", requestId));
    }

    @Override
    public void cancel(String requestId, int attempt) {
        writeAction("DropAttempt", () -> {
            out.writeStringField("ticket", requestId);
            out.writeNumberField("go", attempt);
        });
    }

    @Override
    public void timer(long atMicros, long token) {
        writeAction("Defer", () -> {
            out.writeNumberField("time_us", atMicros);
            out.writeNumberField("handle", token);
        });
    }

    @Override
    public void probe(long server) {
        writeAction("Inspect", () -> out.writeNumberField("server", server));
    }

    @Override
    public void closeIdle(long server) {
        writeAction("LetGo", () -> out.writeNumberField("server", server));
    }

    @Override
    public void subscribe() {
        writeAction("Subscribe", () -> out.writeBooleanField("want", true));
    }

    @Override
    public void log(String line) {
        writeAction("Print", () -> out.writeStringField("what", line));
    }
}
