package org.cypressweir.architecture.planted.controlplane.controller;

/** What the data plane must not name. */
public final class Publisher {}
