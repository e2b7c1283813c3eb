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
 * Messages as datagrams: one CBOR array (RFC 8949), behind it its CRC-32C (RFC 3720, appendix B.4) in four
 * bytes, since one flipped bit may otherwise read as another incarnation. What is not of this cluster and
 * version, whole and within all bounds is no message.
 */
final class MembershipMessageCodec {

    /** Bytes of a datagram, at most. */
    static final int MOST = 1_200;

    static final int VERSION = 2;
    private static final String MAGIC = "lbm";
    private static final int MOST_ITEMS = 256;
    private static final int MOST_FACTS = 8;
    private static final int MOST_TEXT = 300;
    private static final CBORFactory CBOR = new CBORFactory();

    /** Why a datagram is none of ours. */
    enum Fault {
        TOO_LONG,
        TORN,
        FOREIGN,
        NEWER,
        NONSENSE
    }

    /** Thrown for what is dropped; without a stack, since anybody may send as many as they like. */
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

    byte[] write(MembershipMessage m) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartArray();
            out.writeString(MAGIC);
            out.writeNumber(VERSION);
            out.writeString(cluster);
            out.writeNumber(m.kind().ordinal());
            peer(out, m.from());
            out.writeString(m.to());
            out.writeNumber(m.number());
            out.writeNumber(m.digest());
            out.writeStartArray();
            for (MemberRecord e : m.entries()) {
                entry(out, e);
            }
            out.writeEndArray();
            out.writeStartArray();
            for (FailureReport r : m.reports()) {
                report(out, r);
            }
            out.writeEndArray();
            out.writeStartArray();
            for (int b : m.buckets()) {
                out.writeNumber(b);
            }
            out.writeEndArray();
            out.writeString(m.text());
            out.writeBinary(m.load());
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException("memory can't fail", e);
        }
        byte[] body = bytes.toByteArray();
        return ByteBuffer.allocate(body.length + 4)
                .put(body)
                .putInt(sum(body, body.length))
                .array();
    }

    private static int sum(byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return (int) sum.getValue();
    }

    private static void peer(JsonGenerator out, Peer p) throws IOException {
        out.writeStartArray();
        out.writeString(p.name());
        out.writeNumber(p.life());
        out.writeNumber(p.born());
        out.writeNumber(p.incarnation());
        out.writeBinary(p.address().getAddress().getAddress());
        out.writeNumber(p.address().getPort());
        out.writeEndArray();
    }

    private static void entry(JsonGenerator out, MemberRecord e) throws IOException {
        out.writeStartArray();
        peer(out, e.peer());
        out.writeNumber(e.standing().ordinal());
        out.writeNumber(e.version());
        out.writeNumber(e.age());
        out.writeStartArray();
        for (Map.Entry<String, String> fact : e.facts().entrySet()) {
            out.writeString(fact.getKey());
            out.writeString(fact.getValue());
        }
        out.writeEndArray();
        out.writeEndArray();
    }

    private static void report(JsonGenerator out, FailureReport r) throws IOException {
        out.writeStartArray();
        out.writeString(r.reporter());
        out.writeNumber(r.reporterIncarnation());
        out.writeString(r.about());
        out.writeNumber(r.aboutIncarnation());
        out.writeNumber(r.number());
        out.writeBoolean(r.lost());
        out.writeEndArray();
    }

    MembershipMessage read(byte[] bytes) throws Dropped {
        if (bytes.length > MOST) {
            throw new Dropped(Fault.TOO_LONG);
        }
        int length = bytes.length - 4;
        if (length < 1 || ByteBuffer.wrap(bytes, length, 4).getInt() != sum(bytes, length)) {
            throw new Dropped(Fault.TORN);
        }
        try (JsonParser in = CBOR.createParser(bytes, 0, length)) {
            MembershipMessage m = new Reader(in, cluster).message();
            if (in.nextToken() != null) {
                throw new Dropped(Fault.NONSENSE);
            }
            return m;
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

        MembershipMessage message() throws IOException, Dropped {
            begin();
            if (!MAGIC.equals(text())) {
                throw new Dropped(Fault.FOREIGN);
            }
            if (whole() != VERSION) {
                throw new Dropped(Fault.NEWER);
            }
            if (!cluster.equals(text())) {
                throw new Dropped(Fault.FOREIGN);
            }
            MembershipMessage.Kind kind = one(MembershipMessage.Kind.values());
            begin();
            Peer from = peer();
            String to = text();
            long number = number();
            long digest = number();
            List<MemberRecord> entries = new ArrayList<>();
            begin();
            while (begins(entries.size())) {
                entries.add(entry());
            }
            List<FailureReport> reports = new ArrayList<>();
            begin();
            while (begins(reports.size())) {
                reports.add(report());
            }
            List<Integer> buckets = new ArrayList<>();
            begin();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                need(in.currentToken() == JsonToken.VALUE_NUMBER_INT && buckets.size() < MOST_ITEMS);
                buckets.add(in.getIntValue());
            }
            String text = text();
            need(in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
            byte[] load = in.getBinaryValue();
            end();
            return new MembershipMessage(kind, from, to, number, digest, entries, reports, buckets, text, load);
        }

        private Peer peer() throws IOException, Dropped {
            String name = text();
            long life = number();
            long born = number();
            int incarnation = whole();
            need(in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
            InetAddress address = InetAddress.getByAddress(in.getBinaryValue());
            int port = whole();
            end();
            need(!name.isEmpty() && incarnation > 0 && port > 0 && port < 65_536);
            return new Peer(name, life, born, incarnation, new InetSocketAddress(address, port));
        }

        /** Its list has begun already. */
        private MemberRecord entry() throws IOException, Dropped {
            begin();
            Peer peer = peer();
            MemberStatus standing = one(MemberStatus.values());
            int version = whole();
            int age = whole();
            begin();
            Map<String, String> facts = new LinkedHashMap<>();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                need(in.currentToken() == JsonToken.VALUE_STRING && facts.size() < MOST_FACTS);
                facts.put(in.getText(), text());
            }
            end();
            need(version >= 0 && age >= 0);
            return new MemberRecord(peer, standing, version, facts, age);
        }

        private FailureReport report() throws IOException, Dropped {
            String reporter = text();
            int own = whole();
            String about = text();
            int its = whole();
            int number = whole();
            JsonToken lost = in.nextToken();
            need(lost == JsonToken.VALUE_TRUE || lost == JsonToken.VALUE_FALSE);
            end();
            return new FailureReport(reporter, own, about, its, number, lost == JsonToken.VALUE_TRUE);
        }

        private static void need(boolean holds) throws Dropped {
            if (!holds) {
                throw new Dropped(Fault.NONSENSE);
            }
        }

        private void begin() throws IOException, Dropped {
            need(in.nextToken() == JsonToken.START_ARRAY);
        }

        /** Whether another list begins within the list that is read, which has so many by now. */
        private boolean begins(int count) throws IOException, Dropped {
            JsonToken next = in.nextToken();
            need(next == JsonToken.END_ARRAY || next == JsonToken.START_ARRAY && count < MOST_ITEMS);
            return next == JsonToken.START_ARRAY;
        }

        private void end() throws IOException, Dropped {
            need(in.nextToken() == JsonToken.END_ARRAY);
        }

        private String text() throws IOException, Dropped {
            need(in.nextToken() == JsonToken.VALUE_STRING);
            String text = in.getText();
            need(text.length() <= MOST_TEXT);
            return text;
        }

        private long number() throws IOException, Dropped {
            need(in.nextToken() == JsonToken.VALUE_NUMBER_INT);
            return in.getLongValue();
        }

        private int whole() throws IOException, Dropped {
            need(in.nextToken() == JsonToken.VALUE_NUMBER_INT);
            return in.getIntValue();
        }

        private <T> T one(T[] of) throws IOException, Dropped {
            int i = whole();
            need(i >= 0 && i < of.length);
            return of[i];
        }
    }
}
