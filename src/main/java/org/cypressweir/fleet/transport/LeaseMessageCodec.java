package org.cypressweir.fleet.transport;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cypressweir.fleet.lease.LeaseMessage;

/** Words about leases as the load of a datagram: one CBOR array each. */
final class LeaseMessageCodec {

    private static final int MOST_TEXT = 200;
    private static final CBORFactory CBOR = new CBORFactory();

    private LeaseMessageCodec() {}

    static byte[] write(LeaseMessage w) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        try (JsonGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartArray();
            out.writeNumber(w.kind().ordinal());
            out.writeString(w.lease());
            out.writeString(w.holder());
            out.writeNumber(w.token());
            out.writeNumber(w.number());
            out.writeNumber(w.micros());
            out.writeNumber(w.set());
            for (Map.Entry<String, Long> top : w.tops().entrySet()) {
                out.writeString(top.getKey());
                out.writeNumber(top.getValue());
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException("memory can't fail", e);
        }
        return bytes.toByteArray();
    }

    static LeaseMessage read(byte[] load) throws MembershipMessageCodec.Dropped {
        try (JsonParser in = CBOR.createParser(load)) {
            need(in.nextToken() == JsonToken.START_ARRAY);
            long kind = number(in);
            need(kind >= 0 && kind < LeaseMessage.Kind.values().length);
            String lease = text(in);
            String holder = text(in);
            long token = number(in);
            long asked = number(in);
            long micros = number(in);
            long set = number(in);
            need(token >= 0 && micros >= 0);
            Map<String, Long> tops = new LinkedHashMap<>();
            while (in.nextToken() == JsonToken.VALUE_STRING) {
                need(tops.size() < LeaseMessage.MOST_TOPS && in.getText().length() <= MOST_TEXT);
                tops.put(in.getText(), number(in));
            }
            need(in.currentToken() == JsonToken.END_ARRAY);
            return new LeaseMessage(
                    LeaseMessage.Kind.values()[(int) kind], lease, holder, token, asked, micros, set, tops);
        } catch (IOException e) {
            throw new MembershipMessageCodec.Dropped(MembershipMessageCodec.Fault.NONSENSE);
        }
    }

    private static void need(boolean holds) throws MembershipMessageCodec.Dropped {
        if (!holds) {
            throw new MembershipMessageCodec.Dropped(MembershipMessageCodec.Fault.NONSENSE);
        }
    }

    private static long number(JsonParser in) throws IOException, MembershipMessageCodec.Dropped {
        need(in.nextToken() == JsonToken.VALUE_NUMBER_INT);
        return in.getLongValue();
    }

    private static String text(JsonParser in) throws IOException, MembershipMessageCodec.Dropped {
        need(in.nextToken() == JsonToken.VALUE_STRING && in.getText().length() <= MOST_TEXT);
        return in.getText();
    }
}
