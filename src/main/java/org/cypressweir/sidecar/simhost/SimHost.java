package org.cypressweir.sidecar.simhost;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.loadbalancing.LoadBalancer;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.SubsetLoadBalancer;

/**
 * Hosts one {@link SubsetLoadBalancer} per simulated sidecar and translates between it and the simulator's protocol.
 * All decisions are made by the load balancer.
 */
public final class SimHost {

    private static final int MAX_SERVER_LISTS = 16;

    private final JsonFactory json = new JsonFactory();
    private final Map<String, HostedInstance> instances = new HashMap<>();
    private final List<List<Server>> serverLists = new ArrayList<>();
    private final MessageFields fields = new MessageFields();

    /** The load balancer of one simulated sidecar. */
    private static final class HostedInstance {
        LoadBalancer balancer;
    }

    SimHost() {
        for (int i = 0; i < MAX_SERVER_LISTS; i++) {
            serverLists.add(null);
        }
    }

    /** Serves standard input and output until the input ends; returns the exit status. */
    public static int serve() {
        return new SimHost().run(System.in, System.out, System.err);
    }

    /** Replies to batches until the input ends; returns the exit status. */
    int run(InputStream in, OutputStream out, PrintStream errors) {
        try (JsonParser parser = json.createParser(in);
                JsonGenerator generator = json.createGenerator(out)) {
            generator.setRootValueSeparator(null);
            generator.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
            generator.disable(JsonGenerator.Feature.AUTO_CLOSE_JSON_CONTENT);
            ReplyWriter replies = new ReplyWriter(generator);
            JsonToken token;
            while ((token = parser.nextToken()) != null) {
                if (token != JsonToken.START_OBJECT) {
                    throw new WireException("a batch must be a JSON object");
                }
                readBatch(parser, replies);
                replies.finish();
            }
            return 0;
        } catch (WireException e) {
            errors.println("cypressweir-sidecar: " + e.getMessage());
        } catch (JsonParseException e) {
            errors.println("cypressweir-sidecar: not JSON: " + oneLine(e.getOriginalMessage()));
        } catch (IOException e) {
            errors.println("cypressweir-sidecar: " + oneLine(String.valueOf(e.getMessage())));
        } catch (IllegalArgumentException e) {
            errors.println("cypressweir-sidecar: bad settings or event: " + oneLine(String.valueOf(e.getMessage())));
        }
        errors.flush();
        return 1;
    }

    private static String oneLine(String text) {
        return text.replaceAll("\\s+", " ");
    }

    private void readBatch(JsonParser parser, ReplyWriter replies) throws IOException, WireException {
        long now = -1;
        boolean groupsSeen = false;
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            JsonToken value = parser.nextToken();
            if (name.equals("at_time_us")) {
                if (value != JsonToken.VALUE_NUMBER_INT) {
                    throw new WireException("batch: 'at_time_us' must be a whole number");
                }
                now = parser.getLongValue();
            } else if (name.equals("groups")) {
                if (now < 0) {
                    throw new WireException("batch: 'at_time_us' must come before 'groups'");
                }
                expect(value, JsonToken.START_ARRAY, "'groups' must be an array");
                groupsSeen = true;
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    expect(parser.currentToken(), JsonToken.START_OBJECT, "a group must be an object");
                    readGroup(parser, now, replies);
                }
            } else {
                parser.skipChildren();
            }
        }
        if (now < 0 || !groupsSeen) {
            throw new WireException("batch: '" + (now < 0 ? "at_time_us" : "groups") + "' is missing");
        }
    }

    private static void expect(JsonToken token, JsonToken wanted, String message) throws WireException {
        if (token != wanted) {
            throw new WireException(message);
        }
    }

    private void readGroup(JsonParser parser, long now, ReplyWriter replies) throws IOException, WireException {
        String instanceName = null;
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            JsonToken value = parser.nextToken();
            if (name.equals("who")) {
                expect(value, JsonToken.VALUE_STRING, "group: 'who' must be a string");
                instanceName = parser.getText();
                replies.instance(instanceName);
            } else if (name.equals("msgs")) {
                if (instanceName == null) {
                    // Pools belong to the process, so a group that has only Pool events may lack an instance
                    // name.
                    replies.instance("");
                }
                expect(value, JsonToken.START_ARRAY, "group: 'msgs' must be an array");
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    expect(parser.currentToken(), JsonToken.START_OBJECT, "an event must be an object");
                    fields.read(parser);
                    handleEvent(now, instanceName, replies);
                }
            } else {
                parser.skipChildren();
            }
        }
    }

    private void handleEvent(long now, String instanceName, ReplyWriter replies) throws WireException {
        String op = fields.text("op");
        if (op.equals("Pool")) {
            serverLists.set(tableIndex(), List.copyOf(fields.servers()));
            return;
        }
        if (instanceName == null) {
            throw new WireException("group: 'who' is missing");
        }
        if (op.equals("Start")) {
            HostedInstance hosted = new HostedInstance();
            hosted.balancer = new SubsetLoadBalancer(fields.settings(), replies);
            instances.put(instanceName, hosted);
            return;
        }
        HostedInstance hosted = instances.get(instanceName);
        if (hosted == null) {
            throw new WireException(op + ": unknown instance '" + instanceName + "'");
        }
        LoadBalancer balancer = hosted.balancer;
        switch (op) {
            case "PowerOff" -> instances.remove(instanceName);
            case "Endpoints" -> {
                ListKind kind = fields.listKind();
                List<Server> list = kind == ListKind.FAILED ? List.of() : serverLists.get(tableIndex());
                if (list == null) {
                    throw new WireException("Endpoints: no Pool event for table " + fields.number("table"));
                }
                balancer.servers(now, kind, list);
            }
            case "Call" -> balancer.request(now, fields.request());
            case "Established" -> balancer.streamBegan(
                    now,
                    fields.text("ticket"),
                    (int) fields.number("go"),
                    fields.number("server"),
                    fields.number("cost_time_us"));
            case "Response" -> balancer.outcome(now, fields.outcome());
            case "ClientLeft" -> balancer.clientLeft(now, fields.text("ticket"));
            case "DeadlineHit" -> balancer.timer(now, fields.number("handle"));
            case "CheckResult" -> balancer.probed(
                    now, fields.number("server"), fields.result(), fields.number("cost_time_us"), fields.report());
            case "Peer" -> {}
            default -> throw new WireException("unknown op '" + op + "'");
        }
    }

    private int tableIndex() throws WireException {
        long table = fields.number("table");
        if (table < 0 || table >= MAX_SERVER_LISTS) {
            throw new WireException("table " + table + " is not between 0 and " + (MAX_SERVER_LISTS - 1));
        }
        return (int) table;
    }
}
