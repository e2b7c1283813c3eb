package org.cypressweir.fleet.transport;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.Map;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.fleet.lease.Leases;
import org.cypressweir.fleet.membership.MembershipProtocol;
import org.cypressweir.fleet.membership.Peer;
import org.cypressweir.fleet.membership.ShareRequester;

/** The status of membership and leases as lines of JSON for operators. Field names are fixed. */
final class FleetStatusJson {

    private static final int INITIAL_CHARACTERS = 512;
    private static final JsonFactory JSON = new JsonFactory();

    /** Writes the fields of the outer object. */
    private interface FieldWriter {
        void write(JsonGenerator out) throws IOException;
    }

    private FleetStatusJson() {}

    /** @param shares null if limits are not shared */
    static String members(long now, MembershipProtocol membership, ShareRequester shares, UdpTransport transport) {
        return object(out -> {
            out.writeStringField("self", membership.self().name());
            out.writeNumberField("incarnation", membership.self().incarnation());
            out.writeNumberField("live", membership.liveCount());
            if (shares != null) {
                writeShare(out, now, shares);
            }
            Map<String, MembershipProtocol.MemberView> members = membership.members();
            writeStates(out, members);
            writeDetails(out, members);
            out.writeNumberField("datagrams_sent", transport.sentDatagrams());
            out.writeNumberField("bytes_sent", transport.sentBytes());
            out.writeNumberField("datagrams_received", transport.receivedDatagrams());
            writeDropped(out, transport.droppedDatagrams(), membership.droppedMessages());
        });
    }

    private static void writeShare(JsonGenerator out, long now, ShareRequester shares) throws IOException {
        out.writeObjectFieldStart("share");
        out.writeBooleanField("claims", shares.hasClaim(now));
        out.writeNumberField("part", shares.fraction(now));
        out.writeNumberField("count", shares.processCount(now));
        out.writeEndObject();
    }

    private static void writeStates(JsonGenerator out, Map<String, MembershipProtocol.MemberView> members)
            throws IOException {
        out.writeObjectFieldStart("members");
        for (Map.Entry<String, MembershipProtocol.MemberView> member : members.entrySet()) {
            out.writeStringField(member.getKey(), member.getValue().state());
        }
        out.writeEndObject();
    }

    private static void writeDetails(JsonGenerator out, Map<String, MembershipProtocol.MemberView> members)
            throws IOException {
        out.writeObjectFieldStart("details");
        for (Map.Entry<String, MembershipProtocol.MemberView> member : members.entrySet()) {
            Peer peer = member.getValue().record().peer();
            out.writeObjectFieldStart(member.getKey());
            out.writeStringField("address", Addresses.text(peer.address()));
            out.writeNumberField("incarnation", peer.incarnation());
            Map<String, String> facts = member.getValue().record().facts();
            for (Map.Entry<String, String> fact : facts.entrySet()) {
                out.writeStringField(fact.getKey(), fact.getValue());
            }
            out.writeEndObject();
        }
        out.writeEndObject();
    }

    private static void writeDropped(
            JsonGenerator out, Map<MembershipMessageCodec.Fault, Long> dropped, long overAllowance) throws IOException {
        out.writeObjectFieldStart("dropped");
        for (Map.Entry<MembershipMessageCodec.Fault, Long> fault : dropped.entrySet()) {
            out.writeNumberField(fault.getKey().name().toLowerCase(Locale.ROOT), fault.getValue());
        }
        out.writeNumberField("over_allowance", overAllowance);
        out.writeEndObject();
    }

    static String leases(Map<String, Leases.Status> leases) {
        return object(out -> {
            out.writeObjectFieldStart("leases");
            for (Map.Entry<String, Leases.Status> lease : leases.entrySet()) {
                Leases.Status status = lease.getValue();
                out.writeObjectFieldStart(lease.getKey());
                out.writeStringField("holder", status.holder());
                out.writeBooleanField("held", status.isHeldHere());
                out.writeNumberField("token", status.token());
                out.writeNumberField("left_ms", status.remainingMicros() / 1_000);
                out.writeEndObject();
            }
            out.writeEndObject();
        });
    }

    private static String object(FieldWriter fieldWriter) {
        StringWriter json = new StringWriter(INITIAL_CHARACTERS);
        try (JsonGenerator out = JSON.createGenerator(json)) {
            out.writeStartObject();
            fieldWriter.write(out);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to a string failed", e);
        }
        return json.toString();
    }
}
