/**
 * Settings read from YAML files into records, validated before any address is bound.
 */
package org.almondmount.settings;
