package org.cypressweir.sidecar;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cypressweir.fleet.membership.Lending;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Server;

/**
 * The latest endpoint list of this process, in pages that other processes may borrow. It holds servers in service only:
 * a borrower sends nothing to draining ones, because the time at which the lender learned of the drain no longer
 * counts. Zones and models are written by name.
 */
final class EndpointListCache implements Lending.EndpointListSource {

    /** Largest page in bytes: a datagram less the other fields of its message. */
    private static final int MAX_PAGE_BYTES = 900;

    private static final CBORFactory CBOR = new CBORFactory();

    private final SidecarClock clock;
    private final ServerList.Reader nameTable;
    private final Supplier<ServerList> list;
    private final BooleanSupplier isSettled;
    private long revision;
    private long updatedAtMicros;
    /** Written when first requested; null before. */
    private List<byte[]> pages;

    /**
     * @param list supplies the latest list
     * @param isSettled whether the pools have all of it
     */
    EndpointListCache(
            SidecarClock clock,
            ServerList.Reader nameTable,
            long revision,
            Supplier<ServerList> list,
            BooleanSupplier isSettled) {
        this.clock = clock;
        this.nameTable = nameTable;
        this.revision = revision;
        this.list = list;
        this.isSettled = isSettled;
        updatedAtMicros = clock.micros();
    }

    /** A list of this revision has arrived, from any source, which had had it for this long. */
    void update(long next, long ageMicros) {
        revision = next;
        updatedAtMicros = clock.micros() - ageMicros;
        pages = null;
    }

    @Override
    public long revision() {
        return isSettled.getAsBoolean() ? revision : -1;
    }

    @Override
    public long knownRevision() {
        return revision;
    }

    @Override
    public long ageMicros() {
        return Math.max(0, clock.micros() - updatedAtMicros);
    }

    @Override
    public int pages() {
        if (pages == null) {
            pages = write(list.get());
        }
        return pages.size();
    }

    @Override
    public byte[] page(int number) {
        return pages.get(number);
    }

    private List<byte[]> write(ServerList all) {
        List<byte[]> written = new ArrayList<>();
        ByteArrayOutputStream page = new ByteArrayOutputStream(MAX_PAGE_BYTES);
        for (ServerList.Entry e : all.entries()) {
            if (e.server().phase() == Phase.READY) {
                byte[] one = write(e);
                if (page.size() + one.length > MAX_PAGE_BYTES) {
                    written.add(page.toByteArray());
                    page.reset();
                }
                page.writeBytes(one);
            }
        }
        if (page.size() > 0) {
            written.add(page.toByteArray());
        }
        return written;
    }

    private byte[] write(ServerList.Entry e) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
        Server s = e.server();
        try (JsonGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartArray();
            out.writeNumber(s.id());
            out.writeString(s.zone() < 0 ? "" : nameTable.zones().get(s.zone()));
            out.writeString(s.kind() < 0 ? "" : nameTable.models().get(s.kind()));
            out.writeNumber(s.cell());
            out.writeNumber(s.startMicros());
            out.writeNumber(s.weight());
            out.writeBinary(e.address().getAddress().getAddress());
            out.writeNumber(e.address().getPort());
            out.writeEndArray();
        } catch (IOException io) {
            throw new UncheckedIOException("failed to write to memory", io);
        }
        return bytes.toByteArray();
    }

    /** Parses a borrowed list. Like a list from discovery, it is accepted as a whole or not at all. */
    ServerList read(Lending.Loan loan) throws IOException {
        List<ServerList.Entry> entries = new ArrayList<>();
        for (byte[] page : loan.pages()) {
            try (JsonParser in = CBOR.createParser(page)) {
                while (in.nextToken() != null) {
                    entries.add(entry(in));
                }
            }
        }
        return new ServerList(loan.revision(), true, entries);
    }

    private ServerList.Entry entry(JsonParser in) throws IOException {
        require(in.currentToken() == JsonToken.START_ARRAY);
        long id = in.nextLongValue(0);
        int zone = nameTable.zones().indexOf(in.nextTextValue());
        int kind = nameTable.models().indexOf(in.nextTextValue());
        int cell = in.nextIntValue(0);
        long start = in.nextLongValue(0);
        require(in.nextToken() != null && in.currentToken().isNumeric());
        double weight = in.getDoubleValue();
        require(in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
        InetAddress address = InetAddress.getByAddress(in.getBinaryValue());
        int port = in.nextIntValue(0);
        require(port > 0 && port < 65_536 && weight >= 0 && in.nextToken() == JsonToken.END_ARRAY);
        return new ServerList.Entry(
                new Server(id, zone, kind, cell, Phase.READY, start, weight), new InetSocketAddress(address, port));
    }

    private static void require(boolean holds) throws IOException {
        if (!holds) {
            throw new IOException("malformed page of an endpoint list");
        }
    }
}
