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
 * The newest list of this process as pages that others may borrow: servers in service only. Whoever borrows
 * sends nothing to those that drain, since when its lender was told of that has no say any more. Zones and
 * models go by name.
 */
final class EndpointListCache implements Lending.EndpointListSource {

    /** Bytes of a page, under those of a datagram by what else is in it. */
    private static final int PAGE = 900;

    private static final CBORFactory CBOR = new CBORFactory();

    private final SidecarClock clock;
    private final ServerList.Reader names;
    private final Supplier<ServerList> list;
    private final BooleanSupplier whole;
    private long revision;
    private long toldAt;
    /** Made when they are first asked for; null for not yet. */
    private List<byte[]> pages;

    /**
     * @param list as told last
     * @param whole whether nothing of it is still on its way to the pools
     */
    EndpointListCache(
            SidecarClock clock,
            ServerList.Reader names,
            long revision,
            Supplier<ServerList> list,
            BooleanSupplier whole) {
        this.clock = clock;
        this.names = names;
        this.revision = revision;
        this.list = list;
        this.whole = whole;
        toldAt = clock.micros();
    }

    /** A list of that revision has come, from wherever, which had it for so long. */
    void told(long next, long ageMicros) {
        revision = next;
        toldAt = clock.micros() - ageMicros;
        pages = null;
    }

    @Override
    public long revision() {
        return whole.getAsBoolean() ? revision : -1;
    }

    @Override
    public long known() {
        return revision;
    }

    @Override
    public long ageMicros() {
        return Math.max(0, clock.micros() - toldAt);
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
        ByteArrayOutputStream page = new ByteArrayOutputStream(PAGE);
        for (ServerList.Entry e : all.entries()) {
            if (e.server().phase() == Phase.READY) {
                byte[] one = write(e);
                if (page.size() + one.length > PAGE) {
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
            out.writeString(s.zone() < 0 ? "" : names.zones().get(s.zone()));
            out.writeString(s.kind() < 0 ? "" : names.models().get(s.kind()));
            out.writeNumber(s.cell());
            out.writeNumber(s.startMicros());
            out.writeNumber(s.weight());
            out.writeBinary(e.address().getAddress().getAddress());
            out.writeNumber(e.address().getPort());
            out.writeEndArray();
        } catch (IOException io) {
            throw new UncheckedIOException("memory can't fail", io);
        }
        return bytes.toByteArray();
    }

    /** All or nothing, like a list of discovery's. */
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
        need(in.currentToken() == JsonToken.START_ARRAY);
        long id = in.nextLongValue(0);
        int zone = names.zones().indexOf(in.nextTextValue());
        int kind = names.models().indexOf(in.nextTextValue());
        int cell = in.nextIntValue(0);
        long start = in.nextLongValue(0);
        need(in.nextToken() != null && in.currentToken().isNumeric());
        double weight = in.getDoubleValue();
        need(in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
        InetAddress address = InetAddress.getByAddress(in.getBinaryValue());
        int port = in.nextIntValue(0);
        need(port > 0 && port < 65_536 && weight >= 0 && in.nextToken() == JsonToken.END_ARRAY);
        return new ServerList.Entry(
                new Server(id, zone, kind, cell, Phase.READY, start, weight), new InetSocketAddress(address, port));
    }

    private static void need(boolean holds) throws IOException {
        if (!holds) {
            throw new IOException("a page that is none");
        }
    }
}
