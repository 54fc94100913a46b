/**
 * Policy experiments in virtual time: the real decision classes against a model of an
 * engine.
 */
package org.wigeontally.emulator.traffic;
