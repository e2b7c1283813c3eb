package org.cypressweir.sidecar.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a process has done since its start, in the operators' names. Each request is counted once when it ends
 * and each attempt once when its last byte has been handed over, by whichever front took it; rehearsals have
 * figures of their own, which nobody reads.
 */
public final class SidecarMetrics {

    /** How a client's request ended. */
    public enum Ending {
        SERVED,
        REFUSED,
        FAILED
    }

    /** What is read at the moment of the question. */
    public interface Fleet {
        int listed();

        /** Listed servers that nothing would be sent to now. */
        int avoided();
    }

    private static final class Counts {
        private final long[] by = new long[Ending.values().length];
    }

    private static final JsonFactory JSON = new JsonFactory();

    private final Map<String, Counts> classes = new LinkedHashMap<>();
    private long attempts;
    private long inHand;
    private long taken;
    private long turnedDown;

    /** Classes that are shown even before anybody asks for them; those of before stay. */
    public void show(List<String> names) {
        names.forEach(name -> classes.computeIfAbsent(name, n -> new Counts()));
    }

    /** A request has come whole. */
    public void taken() {
        inHand++;
    }

    /** A request that was taken has its final answer. */
    public void ended(String requestClass, Ending ending) {
        inHand--;
        classes.computeIfAbsent(requestClass, n -> new Counts()).by[ending.ordinal()]++;
    }

    /** The client of a request that was taken has left: it ends under no name. */
    public void left() {
        inHand--;
    }

    /** The last byte of an attempt has been handed to the network. */
    public void attempted() {
        attempts++;
    }

    /** A configuration was read again, and taken over or turned down. */
    public void reconfigured(boolean taken) {
        if (taken) {
            this.taken++;
        } else {
            turnedDown++;
        }
    }

    /** One line of JSON. */
    public String json(Fleet fleet) {
        StringWriter text = new StringWriter(512);
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            byClass(out, "success", Ending.SERVED);
            byClass(out, "busy", Ending.REFUSED);
            byClass(out, "failure", Ending.FAILED);
            out.writeNumberField("backend_calls", attempts);
            out.writeNumberField("inflight", inHand);
            out.writeNumberField("hosts_listed", fleet.listed());
            out.writeNumberField("hosts_down", fleet.avoided());
            out.writeNumberField("reconfig_ok", taken);
            out.writeNumberField("reconfig_failed", turnedDown);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("a string can't fail", e);
        }
        return text.toString();
    }

    private void byClass(JsonGenerator out, String name, Ending ending) throws IOException {
        out.writeObjectFieldStart(name);
        for (Map.Entry<String, Counts> c : classes.entrySet()) {
            out.writeNumberField(c.getKey(), c.getValue().by[ending.ordinal()]);
        }
        out.writeEndObject();
    }
}
