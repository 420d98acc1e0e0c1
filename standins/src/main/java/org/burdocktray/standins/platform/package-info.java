/**
 * The stand-in for the platform's object API and its list of VMs.
 */
package org.burdocktray.standins.platform;
