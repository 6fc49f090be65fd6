package anvilstate

import (
	"anvilshunt/core/anvilconfig"
)

func configCommand(text string) Command {
	change, problems := anvilconfig.ParseChange([]byte(text))
	if len(problems) > 0 {
		panic(problems[0])
	}
	return Command{Config: &change}
}
