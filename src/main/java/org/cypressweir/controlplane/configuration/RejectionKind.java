package org.cypressweir.controlplane.configuration;

/** Why a configuration change is rejected. */
public enum RejectionKind {
    /** The change, or the configuration that it would lead to, is not valid. */
    INVALID,
    /** One of its versions was accepted with different content. */
    CONFLICT,
    /** One of its versions is so old that it is no longer known whether it was accepted. */
    VERSION_TOO_OLD
}
