package org.cypressweir.sidecar;

import java.net.InetSocketAddress;
import org.cypressweir.fleet.membership.MembershipOptions;

/**
 * What a process needs to know before its sidecar is made.
 *
 * @param layouts makes the layout
 * @param warmUpAddress an address that the sidecar will listen on, for the warm-up
 * @param membership how the process takes part in a fleet; null where it runs alone
 */
record StartupPlan(Layout.Factory layouts, InetSocketAddress warmUpAddress, MembershipOptions membership) {

    /** Without an operators' file. */
    static StartupPlan plain(SidecarConfiguration configuration) {
        return new StartupPlan(PlainLayout::new, configuration.listen(), null);
    }
}
