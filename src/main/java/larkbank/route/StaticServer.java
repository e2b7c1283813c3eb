package larkbank.route;

import java.net.InetSocketAddress;

/**
 * A server that the file names.
 *
 * @param id unique in its pool
 * @param zone a zone of the settings, or null
 * @param model a model of the settings, or null
 * @param cell the group that drops repeats together, from 0
 * @param weight its capacity, 1 being usual
 */
public record StaticServer(String id, InetSocketAddress endpoint, String zone, String model, int cell,
        double weight) { }
