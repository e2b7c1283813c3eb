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
 * Counters of a process since its start, under the names that operators know. Each request is counted once when it
 * ends, and each attempt once when its last byte has been handed to the network, whichever listener the request came
 * from. Warm-up rehearsals count in an instance of their own, which nobody reads.
 */
public final class SidecarMetrics {

    /** How a client's request ended. */
    public enum Ending {
        SERVED,
        REFUSED,
        FAILED
    }

    /** Values that are read at the time of a query. */
    public interface Fleet {
        /** Listed servers. */
        int listedServers();

        /** Listed servers to which no request would be sent now. */
        int avoidedServers();
    }

    private static final class EndingCounts {
        private final long[] byEnding = new long[Ending.values().length];
    }

    private static final JsonFactory JSON = new JsonFactory();

    private final Map<String, EndingCounts> countsByClass = new LinkedHashMap<>();
    private long attempts;
    private long inFlight;
    private long reconfigurationsApplied;
    private long reconfigurationsRejected;

    /** Adds classes that are reported even if they get no requests; earlier ones stay. */
    public void addClasses(List<String> names) {
        names.forEach(name -> countsByClass.computeIfAbsent(name, n -> new EndingCounts()));
    }

    /** A request has been received completely. */
    public void requestReceived() {
        inFlight++;
    }

    /** A received request has got its final response. */
    public void requestEnded(String requestClass, Ending ending) {
        inFlight--;
        countsByClass.computeIfAbsent(requestClass, n -> new EndingCounts()).byEnding[ending.ordinal()]++;
    }

    /** The client of a received request has left; the request counts under no ending. */
    public void clientLeft() {
        inFlight--;
    }

    /** The last byte of an attempt has been handed to the network. */
    public void attemptSent() {
        attempts++;
    }

    /** A configuration was reloaded, and applied or rejected. */
    public void reconfigured(boolean applied) {
        if (applied) {
            this.reconfigurationsApplied++;
        } else {
            reconfigurationsRejected++;
        }
    }

    /** All values as one line of JSON. */
    public String json(Fleet fleet) {
        StringWriter text = new StringWriter(512);
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            writeByClass(out, "success", Ending.SERVED);
            writeByClass(out, "busy", Ending.REFUSED);
            writeByClass(out, "failure", Ending.FAILED);
            out.writeNumberField("backend_calls", attempts);
            out.writeNumberField("inflight", inFlight);
            out.writeNumberField("hosts_listed", fleet.listedServers());
            out.writeNumberField("hosts_down", fleet.avoidedServers());
            out.writeNumberField("reconfig_ok", reconfigurationsApplied);
            out.writeNumberField("reconfig_failed", reconfigurationsRejected);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to a string failed", e);
        }
        return text.toString();
    }

    private void writeByClass(JsonGenerator out, String name, Ending ending) throws IOException {
        out.writeObjectFieldStart(name);
        for (Map.Entry<String, EndingCounts> c : countsByClass.entrySet()) {
            out.writeNumberField(c.getKey(), c.getValue().byEnding[ending.ordinal()]);
        }
        out.writeEndObject();
    }
}
