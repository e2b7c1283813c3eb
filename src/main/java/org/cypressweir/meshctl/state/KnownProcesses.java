package org.cypressweir.meshctl.state;

import java.util.List;

/**
 * The other processes that a process reports.
 *
 * @param registrations at a controller: the proxies that are registered
 * @param proxies at a proxy: all other proxies
 * @param peers at a proxy: the proxies that it forwards requests to
 * @param lostProxies at a controller: proxies that were removed because their heartbeats stopped
 */
public record KnownProcesses(
        List<ControllerPeer> controllers,
        List<Registration> registrations,
        List<ReportedProcess> proxies,
        List<ProxyPeer> peers,
        List<LostProxy> lostProxies) {}
