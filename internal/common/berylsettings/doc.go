// Package berylsettings declares and checks the settings of the processes.
package berylsettings
