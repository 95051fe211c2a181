// Package platform is a stand-in for the platform's list of live and leaving VMs, which shows changes with a delay.
package platform
