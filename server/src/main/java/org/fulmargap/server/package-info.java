/**
 * Settings, start and shutdown of an entry VM.
 */
package org.fulmargap.server;
