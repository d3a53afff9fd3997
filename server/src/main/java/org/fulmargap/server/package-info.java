/**
 * Settings, dependency injection modules, startup and shutdown of an entry VM.
 */
package org.fulmargap.server;
