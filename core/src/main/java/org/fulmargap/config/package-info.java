/**
 * Configuration documents, patches and the state machine over the configuration stream.
 */
package org.fulmargap.config;
