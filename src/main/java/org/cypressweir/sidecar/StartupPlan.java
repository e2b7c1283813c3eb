package org.cypressweir.sidecar;

import java.net.InetSocketAddress;
import org.cypressweir.fleet.membership.MembershipOptions;

/**
 * What a process needs before its sidecar is created.
 *
 * @param layouts creates the layout
 * @param warmUpAddress an address that the sidecar will listen on, used for the warm-up
 * @param membership how the process takes part in a fleet; null if it runs alone
 */
record StartupPlan(Layout.Factory layouts, InetSocketAddress warmUpAddress, MembershipOptions membership) {

    /** The plan for a sidecar without an operators' file. */
    static StartupPlan plain(SidecarConfiguration configuration) {
        return new StartupPlan(SinglePoolLayout::new, configuration.listen(), null);
    }
}
