package org.cypressweir.meshctl.state;

import java.util.List;

/** The application instances of one service that a proxy knows. */
public record ServiceInstances(String service, List<ApplicationInstance> instances) {}
