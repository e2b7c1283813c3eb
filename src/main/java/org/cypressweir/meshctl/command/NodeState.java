package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;

/**
 * A process's answer to the state call. The constants are names of its fields: their texts are fixed, since the
 * process may be of another build.
 */
record NodeState(Map<String, Object> fields) {

    static final String KIND = "kind";
    static final String NAME = "name";
    /** The address of the process's connections to its peers. */
    static final String ADDRESS = "address";
    /** The address of the process's control-plane listener. */
    static final String CONTROL_ADDRESS = "control";
    /** The proposal number of the configuration in force. */
    static final String PROPOSAL = "stamp";

    static final String VOTERS = "crew";
    static final String ITEMS = "list";
    static final String CONTROLLERS = "harbours";
    /** Of a controller: whether the process is in contact with it. */
    static final String REACHABLE = "heard";
    /** At a controller: the proxies that are registered, with the application instance of each. */
    static final String REGISTRATIONS = "berths";
    /** At a proxy: all other proxies. */
    static final String PROXIES = "pilots";
    /** At a proxy: the proxies that it forwards requests to. */
    static final String PEERS = "peers";
    /** At a controller: proxies that were removed since their heartbeats stopped. */
    static final String LOST_PROXIES = "missed";
    /** At a proxy: the application instances it knows, by service. */
    static final String SERVICES = "services";
    /** Of an application instance: the name of the proxy beside it. */
    static final String INSTANCE_PROXY = "pilot";
    /** Of an application instance: whether the process selects it for requests. */
    static final String SELECTED = "chosen";
    /** Of a proxy: whether it is shutting down gracefully. */
    static final String SHUTTING_DOWN = "leaving";
    /** Of a peer: whether there is a connection to it. */
    static final String CONNECTED = "line";
    /** Of an application instance: whether its proxy does not respond to forwarded requests. */
    static final String UNRESPONSIVE = "silent";
    /** Of a lost proxy: the time since it was removed. */
    static final String LOST_MILLIS = "goneMs";
    /** At a controller: demand by tenant over the whole fleet. */
    static final String DEMAND = "tallies";
    /** At a proxy: demand by tenant, with rate and burst. */
    static final String TENANTS = "tenants";
    /** At a proxy: responses that it generated itself, by error kind. */
    static final String REJECTIONS = "refusals";
    /** At a proxy: load of the application instance beside it. */
    static final String OWN_INSTANCE = "own";
    /** Requests that match the id of a trace call. */
    static final String REQUESTS = "requests";

    static final String ATTEMPTS = "attempts";

    Object get(String name) {
        return fields.get(name);
    }

    String text(String name) {
        return JsonCodec.text(fields, name);
    }

    boolean is(NodeKind kind) {
        return kind.is(get(KIND));
    }

    Map<String, Object> object(String name) {
        return JsonCodec.object(fields, name);
    }

    /** The objects in a field that is a list; empty where there is none. */
    List<Map<String, Object>> objects(String name) {
        return objects(fields, name);
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> objects(Map<String, Object> parent, String name) {
        List<Map<String, Object>> objects = new ArrayList<>();
        if (parent.get(name) instanceof List<?> list) {
            for (Object element : list) {
                if (element instanceof Map<?, ?> map) {
                    objects.add((Map<String, Object>) map);
                }
            }
        }
        return objects;
    }
}
