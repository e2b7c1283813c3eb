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

/** Encodes lease messages as the payload of a datagram: one CBOR array each, with a fixed order of values. */
final class LeaseMessageCodec {

    private static final int MAX_TEXT_LENGTH = 200;
    private static final CBORFactory CBOR = new CBORFactory();

    private LeaseMessageCodec() {}

    static byte[] write(LeaseMessage message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        try (JsonGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartArray();
            out.writeNumber(message.kind().ordinal());
            out.writeString(message.lease());
            out.writeString(message.holder());
            out.writeNumber(message.token());
            out.writeNumber(message.requestNumber());
            out.writeNumber(message.micros());
            out.writeNumber(message.grantorSetId());
            for (Map.Entry<String, Long> entry : message.highestTokens().entrySet()) {
                out.writeString(entry.getKey());
                out.writeNumber(entry.getValue());
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return bytes.toByteArray();
    }

    static LeaseMessage read(byte[] payload) throws MembershipMessageCodec.Dropped {
        try (JsonParser in = CBOR.createParser(payload)) {
            require(in.nextToken() == JsonToken.START_ARRAY);
            long kind = readLong(in);
            require(kind >= 0 && kind < LeaseMessage.Kind.values().length);
            String lease = readText(in);
            String holder = readText(in);
            long token = readLong(in);
            long requestNumber = readLong(in);
            long micros = readLong(in);
            long grantorSetId = readLong(in);
            require(token >= 0 && micros >= 0);
            Map<String, Long> highestTokens = new LinkedHashMap<>();
            while (in.nextToken() == JsonToken.VALUE_STRING) {
                require(highestTokens.size() < LeaseMessage.MAX_TOKENS
                        && in.getText().length() <= MAX_TEXT_LENGTH);
                highestTokens.put(in.getText(), readLong(in));
            }
            require(in.currentToken() == JsonToken.END_ARRAY);
            return new LeaseMessage(
                    LeaseMessage.Kind.values()[(int) kind],
                    lease,
                    holder,
                    token,
                    requestNumber,
                    micros,
                    grantorSetId,
                    highestTokens);
        } catch (IOException e) {
            throw new MembershipMessageCodec.Dropped(MembershipMessageCodec.Fault.NONSENSE);
        }
    }

    private static void require(boolean isValid) throws MembershipMessageCodec.Dropped {
        if (!isValid) {
            throw new MembershipMessageCodec.Dropped(MembershipMessageCodec.Fault.NONSENSE);
        }
    }

    private static long readLong(JsonParser in) throws IOException, MembershipMessageCodec.Dropped {
        require(in.nextToken() == JsonToken.VALUE_NUMBER_INT);
        return in.getLongValue();
    }

    private static String readText(JsonParser in) throws IOException, MembershipMessageCodec.Dropped {
        require(in.nextToken() == JsonToken.VALUE_STRING && in.getText().length() <= MAX_TEXT_LENGTH);
        return in.getText();
    }
}
