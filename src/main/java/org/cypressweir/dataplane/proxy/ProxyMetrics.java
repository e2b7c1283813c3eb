package org.cypressweir.dataplane.proxy;

import java.util.Locale;
import java.util.Map;
import org.cypressweir.common.metrics.MetricsPage;
import org.cypressweir.dataplane.http.upstream.UpstreamLoad;
import org.cypressweir.dataplane.quota.TenantUsage;
import org.cypressweir.loadbalancing.LoadBalancer.Result;

/** Writes a proxy's metrics to a {@link MetricsPage}. Made anew for each page; used on the event loop alone. */
final class ProxyMetrics {

    private static final String[] STATUS_CLASSES = {"disconnected", "1xx", "2xx", "3xx", "4xx", "5xx"};

    private final MetricsPage page;

    ProxyMetrics(MetricsPage page) {
        this.page = page;
    }

    /** @param isInternal whether the handler is the one of the application's own calls, which have no tenant */
    void addService(String service, boolean isInternal, ServiceRequestHandler handler) {
        String[] labels = {"service", service, "caller", isInternal ? "application" : "tenant"};
        RequestStatistics statistics = handler.statistics();
        for (int i = 0; i < STATUS_CLASSES.length; i++) {
            if (statistics.requests(i) > 0) {
                page.counter(
                        "cypressweir_requests",
                        "Requests that have ended, by the class of their status.",
                        statistics.requests(i),
                        withLabel(labels, "status", STATUS_CLASSES[i]));
            }
        }
        for (Result result : Result.values()) {
            if (statistics.attempts(result) > 0) {
                page.counter(
                        "cypressweir_attempts",
                        "Attempts at application instances, by their result.",
                        statistics.attempts(result),
                        withLabel(labels, "result", lowerCase(result.name())));
            }
        }
        page.counter(
                "cypressweir_retries",
                "Attempts after the first of each request, hedged ones among them.",
                statistics.retries(),
                labels);
        page.durations(
                "cypressweir_request_duration_seconds",
                "From the arrival of a request to its response.",
                statistics.durations(),
                labels);
        page.gauge("cypressweir_requests_in_flight", "Requests in flight.", handler.inFlightCount(), labels);
        handler.localResponseCounts()
                .forEach((error, count) -> page.counter(
                        "cypressweir_local_responses",
                        "Error responses of the proxy itself to requests that a service was chosen for.",
                        count,
                        withLabel(labels, "kind", lowerCase(error.name()))));
    }

    private static String[] withLabel(String[] labels, String name, String value) {
        return new String[] {labels[0], labels[1], labels[2], labels[3], name, value};
    }

    private static String lowerCase(String name) {
        return name.toLowerCase(Locale.ROOT);
    }

    /** Adds the requests that were rejected before a service was chosen, by kind of error. */
    void addRejections(Map<String, Long> countsByKind) {
        countsByKind.forEach((kind, count) -> page.counter(
                "cypressweir_rejections",
                "Requests rejected before any attempt: no route, no key, over a rate limit, not ready.",
                count,
                "kind",
                lowerCase(kind)));
    }

    /** Adds what the rate limits of tenants have admitted and rejected at this proxy. */
    void addQuotas(Map<String, TenantUsage> usageByTenant) {
        usageByTenant.forEach((tenant, usage) -> {
            addQuotaRequests(tenant, "admitted", usage.admitted());
            addQuotaRequests(tenant, "rejected", usage.rejected());
            page.gauge(
                    "cypressweir_quota_rate",
                    "Requests per second of the tenant's limit that this proxy earns by itself.",
                    usage.ratePerSecond(),
                    "tenant",
                    tenant);
            page.gauge(
                    "cypressweir_quota_tokens",
                    "Requests of the tenant that this proxy may admit at once.",
                    usage.tokens(),
                    "tenant",
                    tenant);
        });
    }

    private void addQuotaRequests(String tenant, String result, long count) {
        page.counter(
                "cypressweir_quota_requests",
                "Requests of a tenant, by whether its rate limit admitted them.",
                count,
                "tenant",
                tenant,
                "result",
                result);
    }

    /**
     * Adds the load of the application instance beside this proxy.
     *
     * @param forwarded attempts that are in flight at other proxies
     */
    void addUpstream(UpstreamLoad load, int forwarded) {
        page.gauge("cypressweir_upstream_running", "Requests running at the instance here.", load.running());
        page.gauge("cypressweir_upstream_waiting", "Requests waiting for the instance here.", load.waiting());
        page.gauge(
                "cypressweir_upstream_concurrency_limit",
                "How many requests may run at the instance here.",
                load.concurrency());
        page.gauge("cypressweir_forwarded_in_flight", "Attempts in flight at other proxies.", forwarded);
    }

    /** @param controllers by address, whether messages are being received from the controller */
    void addControlPlane(Map<String, Boolean> controllers, int proxies, int items) {
        page.gauge(
                "cypressweir_controllers_active",
                "Controllers that something is received from.",
                controllers.values().stream().filter(active -> active).count());
        page.gauge("cypressweir_proxies_known", "Proxies in the endpoint directory.", proxies);
        page.gauge("cypressweir_configuration_items", "Items of the configuration in force.", items);
    }
}
