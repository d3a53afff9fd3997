/**
 * Tests of settings, start and shutdown.
 */
package org.fulmargap.server;
