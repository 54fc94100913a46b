/**
 * Small shared types: clocks and the closer of resources.
 */
package org.wigeontally.misc;
