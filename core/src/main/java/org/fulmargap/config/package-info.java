/**
 * Configuration documents, patches and the state machine of the configuration stream.
 */
package org.fulmargap.config;
