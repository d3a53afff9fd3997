/**
 * Tests of settings, startup and shutdown.
 */
package org.fulmargap.server;
