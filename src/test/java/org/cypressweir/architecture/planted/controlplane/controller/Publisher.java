package org.cypressweir.architecture.planted.controlplane.controller;

/** A class that the data plane must not depend on. */
public final class Publisher {}
