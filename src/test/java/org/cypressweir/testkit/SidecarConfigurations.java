package org.cypressweir.testkit;

import java.util.ArrayList;
import java.util.List;

/** Sidecar configurations and endpoint lists as JSON. */
public final class SidecarConfigurations {

    private static final String SETTINGS = "{'classes':["
            + "{'name':'search','effect':'pure','aim_us':400000,'deadline_us':3000000,'worth':1,"
            + "'late_value':0.5},"
            + "{'name':'hold','effect':'token','aim_us':400000,'deadline_us':3000000,'worth':1,"
            + "'late_value':0.5,'dedup_window_us':3000000},"
            + "{'name':'book','effect':'side_effect','aim_us':400000,'deadline_us':3000000,'worth':1,"
            + "'late_value':0.5}],"
            + "'tenants':[{'name':'acme','share':1}],'zones':['a'],'models':['m'],'zone':0,'discovery':'ask',"
            + "'policy_limits':{'attempts_cap':4,'cancelling':true,'retry_after':true,"
            + "'max_retry_after_us':2000000,'second_copies':true,'conn_idle_us':15000000,"
            + "'connect_timeout_us':CONNECT},"
            + "'report':{'source':'answers','names':['cpu','rps','err_rps']},"
            + "'rules':{'ask_every_us':800000,'drain_grace_us':300000,'cold_from':0.3,'cold_us':1000000,"
            + "'fall_us':1000000},'tick_us':1000}";

    private SidecarConfigurations() {}

    /** Replaces single quotes by double ones, so that JSON in Java strings needs no escapes. */
    public static String json(String quoted) {
        return quoted.replace('\'', '"');
    }

    /** A sidecar's configuration; with port 0 it listens on any free port. */
    public static String of(String name, int port, int discovery, int sockets, long connectMicros, String known) {
        return json(("{'name':'" + name + "','listen':'127.0.0.1:" + port + "','discovery':'127.0.0.1:"
                        + discovery + "','seed':'8c1f30d27a5be964','limits':{'sockets':" + sockets
                        + "},'known':" + known + ",'settings':" + SETTINGS + "}")
                .replace("CONNECT", String.valueOf(connectMicros)));
    }

    /** An endpoint list with these servers, with single quotes; all have the same state. */
    public static String list(int revision, boolean all, String state, PeerStub... servers) {
        List<String> targets = new ArrayList<>();
        for (PeerStub server : servers) {
            targets.add("{'uid':'s-" + server.port() + "','endpoint':'127.0.0.1:" + server.port()
                    + "','az':'a','model':'m','pod_group':0,'state':'" + state + "','boot_ms':0}");
        }
        return "{'rev':" + revision + ",'all':" + all + ",'targets':[" + String.join(",", targets) + "]}";
    }
}
