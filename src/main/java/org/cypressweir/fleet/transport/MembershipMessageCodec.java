package org.cypressweir.fleet.transport;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import org.cypressweir.fleet.membership.FailureReport;
import org.cypressweir.fleet.membership.MemberRecord;
import org.cypressweir.fleet.membership.MemberStatus;
import org.cypressweir.fleet.membership.MembershipMessage;
import org.cypressweir.fleet.membership.Peer;

/**
 * Encodes messages as datagrams: one CBOR array (RFC 8949), followed by its CRC-32C (RFC 3720, appendix B.4) in four
 * bytes, since a flipped bit might otherwise pass as a different incarnation. Datagrams of another cluster or version,
 * damaged datagrams, and datagrams with a value out of bounds are dropped. The order of values is fixed.
 */
final class MembershipMessageCodec {

    /** Maximum size of a datagram. */
    static final int MAX_DATAGRAM_BYTES = 1_200;

    static final int VERSION = 2;
    private static final String MAGIC = "lbm";
    private static final int MAX_ITEMS = 256;
    private static final int MAX_FACTS = 8;
    private static final int MAX_TEXT_LENGTH = 300;
    private static final CBORFactory CBOR = new CBORFactory();

    /** Why a datagram was dropped. The names are printed in lower case, so they are fixed. */
    enum Fault {
        TOO_LONG,
        TORN,
        FOREIGN,
        NEWER,
        NONSENSE
    }

    /** A datagram was dropped. Has no stack trace, since any host may send any number of such datagrams. */
    static final class Dropped extends Exception {
        private static final long serialVersionUID = 1L;
        private final Fault fault;

        Dropped(Fault fault) {
            super(fault.name(), null, false, false);
            this.fault = fault;
        }

        Fault fault() {
            return fault;
        }
    }

    private final String cluster;

    MembershipMessageCodec(String cluster) {
        this.cluster = cluster;
    }

    byte[] write(MembershipMessage message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartArray();
            out.writeString(MAGIC);
            out.writeNumber(VERSION);
            out.writeString(cluster);
            out.writeNumber(message.kind().ordinal());
            writePeer(out, message.from());
            out.writeString(message.to());
            out.writeNumber(message.number());
            out.writeNumber(message.digest());
            out.writeStartArray();
            for (MemberRecord member : message.records()) {
                writeRecord(out, member);
            }
            out.writeEndArray();
            out.writeStartArray();
            for (FailureReport report : message.reports()) {
                writeReport(out, report);
            }
            out.writeEndArray();
            out.writeStartArray();
            for (int bucket : message.buckets()) {
                out.writeNumber(bucket);
            }
            out.writeEndArray();
            out.writeString(message.text());
            out.writeBinary(message.payload());
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        byte[] body = bytes.toByteArray();
        return ByteBuffer.allocate(body.length + 4)
                .put(body)
                .putInt(checksum(body, body.length))
                .array();
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    private static void writePeer(JsonGenerator out, Peer peer) throws IOException {
        out.writeStartArray();
        out.writeString(peer.name());
        out.writeNumber(peer.processId());
        out.writeNumber(peer.startedAtMillis());
        out.writeNumber(peer.incarnation());
        out.writeBinary(peer.address().getAddress().getAddress());
        out.writeNumber(peer.address().getPort());
        out.writeEndArray();
    }

    private static void writeRecord(JsonGenerator out, MemberRecord member) throws IOException {
        out.writeStartArray();
        writePeer(out, member.peer());
        out.writeNumber(member.status().ordinal());
        out.writeNumber(member.version());
        out.writeNumber(member.endedSeconds());
        out.writeStartArray();
        for (Map.Entry<String, String> fact : member.facts().entrySet()) {
            out.writeString(fact.getKey());
            out.writeString(fact.getValue());
        }
        out.writeEndArray();
        out.writeEndArray();
    }

    private static void writeReport(JsonGenerator out, FailureReport report) throws IOException {
        out.writeStartArray();
        out.writeString(report.reporter());
        out.writeNumber(report.reporterIncarnation());
        out.writeString(report.subject());
        out.writeNumber(report.subjectIncarnation());
        out.writeNumber(report.number());
        out.writeBoolean(report.isLost());
        out.writeEndArray();
    }

    MembershipMessage read(byte[] bytes) throws Dropped {
        if (bytes.length > MAX_DATAGRAM_BYTES) {
            throw new Dropped(Fault.TOO_LONG);
        }
        int length = bytes.length - 4;
        if (length < 1 || ByteBuffer.wrap(bytes, length, 4).getInt() != checksum(bytes, length)) {
            throw new Dropped(Fault.TORN);
        }
        try (JsonParser in = CBOR.createParser(bytes, 0, length)) {
            MembershipMessage message = new Reader(in, cluster).readMessage();
            if (in.nextToken() != null) {
                throw new Dropped(Fault.NONSENSE);
            }
            return message;
        } catch (IOException | IllegalArgumentException e) {
            throw new Dropped(Fault.NONSENSE);
        }
    }

    /** Reads one array, value by value. */
    private static final class Reader {
        private final JsonParser in;
        private final String cluster;

        Reader(JsonParser in, String cluster) {
            this.in = in;
            this.cluster = cluster;
        }

        MembershipMessage readMessage() throws IOException, Dropped {
            beginArray();
            if (!MAGIC.equals(readText())) {
                throw new Dropped(Fault.FOREIGN);
            }
            if (readInt() != VERSION) {
                throw new Dropped(Fault.NEWER);
            }
            if (!cluster.equals(readText())) {
                throw new Dropped(Fault.FOREIGN);
            }
            MembershipMessage.Kind kind = readEnum(MembershipMessage.Kind.values());
            beginArray();
            Peer from = readPeer();
            String to = readText();
            long number = readLong();
            long digest = readLong();
            List<MemberRecord> records = new ArrayList<>();
            beginArray();
            while (beginsElement(records.size())) {
                records.add(readRecord());
            }
            List<FailureReport> reports = new ArrayList<>();
            beginArray();
            while (beginsElement(reports.size())) {
                reports.add(readReport());
            }
            List<Integer> buckets = new ArrayList<>();
            beginArray();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                require(in.currentToken() == JsonToken.VALUE_NUMBER_INT && buckets.size() < MAX_ITEMS);
                buckets.add(in.getIntValue());
            }
            String text = readText();
            require(in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
            byte[] payload = in.getBinaryValue();
            endArray();
            return new MembershipMessage(kind, from, to, number, digest, records, reports, buckets, text, payload);
        }

        private Peer readPeer() throws IOException, Dropped {
            String name = readText();
            long processId = readLong();
            long startedAtMillis = readLong();
            int incarnation = readInt();
            require(in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
            InetAddress address = InetAddress.getByAddress(in.getBinaryValue());
            int port = readInt();
            endArray();
            require(!name.isEmpty() && incarnation > 0 && port > 0 && port < 65_536);
            return new Peer(name, processId, startedAtMillis, incarnation, new InetSocketAddress(address, port));
        }

        /** Reads a record whose array has already begun. */
        private MemberRecord readRecord() throws IOException, Dropped {
            beginArray();
            Peer peer = readPeer();
            MemberStatus status = readEnum(MemberStatus.values());
            int version = readInt();
            int endedSeconds = readInt();
            beginArray();
            Map<String, String> facts = new LinkedHashMap<>();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                require(in.currentToken() == JsonToken.VALUE_STRING && facts.size() < MAX_FACTS);
                facts.put(in.getText(), readText());
            }
            endArray();
            require(version >= 0 && endedSeconds >= 0);
            return new MemberRecord(peer, status, version, facts, endedSeconds);
        }

        private FailureReport readReport() throws IOException, Dropped {
            String reporter = readText();
            int reporterIncarnation = readInt();
            String subject = readText();
            int subjectIncarnation = readInt();
            int number = readInt();
            JsonToken isLost = in.nextToken();
            require(isLost == JsonToken.VALUE_TRUE || isLost == JsonToken.VALUE_FALSE);
            endArray();
            return new FailureReport(
                    reporter, reporterIncarnation, subject, subjectIncarnation, number, isLost == JsonToken.VALUE_TRUE);
        }

        private static void require(boolean isValid) throws Dropped {
            if (!isValid) {
                throw new Dropped(Fault.NONSENSE);
            }
        }

        private void beginArray() throws IOException, Dropped {
            require(in.nextToken() == JsonToken.START_ARRAY);
        }

        /** Whether another array begins within the current one, which has {@code count} elements so far. */
        private boolean beginsElement(int count) throws IOException, Dropped {
            JsonToken next = in.nextToken();
            require(next == JsonToken.END_ARRAY || next == JsonToken.START_ARRAY && count < MAX_ITEMS);
            return next == JsonToken.START_ARRAY;
        }

        private void endArray() throws IOException, Dropped {
            require(in.nextToken() == JsonToken.END_ARRAY);
        }

        private String readText() throws IOException, Dropped {
            require(in.nextToken() == JsonToken.VALUE_STRING);
            String text = in.getText();
            require(text.length() <= MAX_TEXT_LENGTH);
            return text;
        }

        private long readLong() throws IOException, Dropped {
            require(in.nextToken() == JsonToken.VALUE_NUMBER_INT);
            return in.getLongValue();
        }

        private int readInt() throws IOException, Dropped {
            require(in.nextToken() == JsonToken.VALUE_NUMBER_INT);
            return in.getIntValue();
        }

        private <T> T readEnum(T[] values) throws IOException, Dropped {
            int i = readInt();
            require(i >= 0 && i < values.length);
            return values[i];
        }
    }
}
